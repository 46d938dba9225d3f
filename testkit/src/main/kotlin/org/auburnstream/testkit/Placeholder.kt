package org.auburnstream.testkit

import org.auburnstream.model.VmId

internal val placeholder = VmId("none")
