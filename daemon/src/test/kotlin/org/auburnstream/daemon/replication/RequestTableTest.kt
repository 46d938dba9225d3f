package org.auburnstream.daemon.replication

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertSame
import kotlin.time.Duration.Companion.seconds

class RequestTableTest {
    private val table = RequestTable(retention = 60.seconds, capacity = 3)
    private val from = DaemonId("d1")
    private var now = MonotonicTime.Zero

    private fun take(correlation: Long, settledBelow: Long = 0, process: Long = 1) = table.take(
        from,
        GroupMessage.Request(GroupId("g"), process, correlation, settledBelow, 1, RequestBody.Read),
        now,
    )

    @Test
    fun aCopyFindsTheRecordOfTheFirst() {
        val first = assertIs<RequestTaking.New>(take(1))
        assertSame(first.record, assertIs<RequestTaking.Known>(take(1)).record)
        assertIs<RequestTaking.New>(take(1, process = 2))
    }

    @Test
    fun settledRequestsMakeRoomAndTheirLateCopiesAreIgnored() {
        (1L..3).forEach { assertIs<RequestTaking.New>(take(it)) }
        assertEquals(RequestTaking.Full, take(4))
        assertIs<RequestTaking.New>(take(4, settledBelow = 3))
        assertEquals(RequestTaking.Settled, take(1))
        assertEquals(RequestTaking.Settled, take(2, settledBelow = 1))
        assertIs<RequestTaking.Known>(take(3))
    }

    @Test
    fun manyRequestsInSequenceNeedLittleRoom() {
        (1L..10_000).forEach { assertIs<RequestTaking.New>(take(it, settledBelow = it)) }
    }

    @Test
    fun aSenderThatWentAwayIsForgotten() {
        (1L..3).forEach { take(it, process = 1) }
        now += 59.seconds
        assertEquals(RequestTaking.Full, take(1, process = 2))
        now += 1.seconds
        assertIs<RequestTaking.New>(take(1, process = 3))
    }
}
