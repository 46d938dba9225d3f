package org.auburnstream.daemon.replication

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertSame
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against executing a duplicate request again and against requests that occupy the table forever.
 */
class RequestTableTest {
    private val table = RequestTable(retention = 60.seconds, capacity = 3)
    private val from = DaemonId("d1")
    private var now = MonotonicTime.Zero

    private fun register(correlation: Long, settledBelow: Long = 0, processId: Long = 1) = table.register(
        from,
        GroupMessage.Request(GroupId("g"), processId, correlation, settledBelow, 1, RequestBody.Read),
        now,
    )

    @Test
    fun aDuplicateReturnsTheRecordOfTheOriginal() {
        val first = assertIs<RequestRegistration.New>(register(1))
        assertSame(first.record, assertIs<RequestRegistration.Duplicate>(register(1)).record)
        assertIs<RequestRegistration.New>(register(1, processId = 2))
    }

    @Test
    fun settledRequestsFreeCapacityAndTheirLateDuplicatesAreIgnored() {
        (1L..3).forEach { assertIs<RequestRegistration.New>(register(it)) }
        assertEquals(RequestRegistration.Full, register(4))
        assertIs<RequestRegistration.New>(register(4, settledBelow = 3))
        assertEquals(RequestRegistration.Settled, register(1))
        assertEquals(RequestRegistration.Settled, register(2, settledBelow = 1))
        assertIs<RequestRegistration.Duplicate>(register(3))
    }

    @Test
    fun settledSequentialRequestsDoNotExhaustTheCapacity() {
        (1L..10_000).forEach { assertIs<RequestRegistration.New>(register(it, settledBelow = it)) }
    }

    @Test
    fun aSenderWithoutContactIsRemovedAfterTheRetention() {
        (1L..3).forEach { register(it, processId = 1) }
        now += 59.seconds
        assertEquals(RequestRegistration.Full, register(1, processId = 2))
        now += 1.seconds
        assertIs<RequestRegistration.New>(register(1, processId = 3))
    }
}
