package org.auburnstream.cli

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
