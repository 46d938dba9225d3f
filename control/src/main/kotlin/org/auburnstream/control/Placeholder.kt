package org.auburnstream.control

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
