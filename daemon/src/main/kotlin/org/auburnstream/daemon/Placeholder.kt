package org.auburnstream.daemon

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
