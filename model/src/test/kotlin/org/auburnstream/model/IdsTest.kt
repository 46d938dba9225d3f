package org.auburnstream.model

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against ids that are serialized as objects and against invalid ids that pass the check. */
class IdsTest {
    @Test
    fun idsAreSerializedAsPlainStrings() {
        val text = Json.encodeToString(VmId.serializer(), VmId("vm-1"))

        assertEquals("\"vm-1\"", text)
    }

    @Test
    fun idWithSpaceIsInvalid() {
        assertFalse(isValidId("vm 1"))
    }
}
