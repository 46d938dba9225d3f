package org.auburnstream.routing

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
