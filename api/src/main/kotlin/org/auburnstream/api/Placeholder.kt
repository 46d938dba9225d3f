package org.auburnstream.api

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
