package org.auburnstream.fleet

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
