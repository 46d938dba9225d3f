package org.auburnstream.bench

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
