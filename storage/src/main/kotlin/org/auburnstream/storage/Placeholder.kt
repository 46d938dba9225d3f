package org.auburnstream.storage

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
