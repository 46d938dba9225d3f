package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId
import org.auburnstream.routing.CreditSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/**
 * Checks that an allocator does not grant slots that are still held.
 *
 * After a restart or a missed view, the allocator does not know the grants of the previous allocator.
 */
class CreditAllocatorTest {
    private val daemons = List(3) { DaemonId("d$it") }
    private val view = DaemonView(version = 1, configured = daemons.toSet())
    private val vm = VmId("vm")
    private val self = view.allocator(vm)!!
    private var now = MonotonicTime(0)

    private fun allocator(epoch: Long) = CreditAllocator(self, CreditSettings(), view, epoch, now)

    private fun request(sequence: Long, wanted: Int, held: Int, allocatorEpoch: Long?) =
        CreditMessage.Request(1, epoch = 1, sequence, allocatorEpoch, listOf(CreditDemand(vm, 8, wanted, held)))

    private fun CreditAllocator.ask(from: Int, request: CreditMessage.Request): Int? =
        handleRequest(daemons[from], request, now)?.grants?.firstOrNull()?.slots

    @Test
    fun delayedRequestToAPreviousAllocatorEpochIsNotAReport() {
        val first = allocator(epoch = 1)
        val report = request(sequence = 1, wanted = 2, held = 0, allocatorEpoch = 1)
        for (daemon in 1..2) first.ask(daemon, request(1, wanted = 0, held = 0, allocatorEpoch = 1))
        assertEquals(2, first.ask(0, report))

        val second = allocator(epoch = 2)
        assertEquals(null, second.ask(0, report), "the reply to a delayed request contains no grants")
        for (daemon in 1..2) second.ask(daemon, request(2, wanted = 2, held = 0, allocatorEpoch = 2))
        assertEquals(0, second.ask(1, request(3, wanted = 2, held = 0, allocatorEpoch = 2)))
        assertEquals(1, second.ask(0, request(2, wanted = 2, held = 2, allocatorEpoch = 2)), "shared among three")
    }

    @Test
    fun newAllocatorGrantsNothingUntilAllReportedOrOldGrantsEnded() {
        val allocator = allocator(epoch = 1)
        assertEquals(0, allocator.ask(0, request(1, wanted = 2, held = 0, allocatorEpoch = 1)))
        now += CreditSettings().lease + CreditSettings().maxExchangeTime - 1.milliseconds
        assertEquals(0, allocator.ask(0, request(2, wanted = 2, held = 0, allocatorEpoch = 1)))
        now += 1.milliseconds
        assertEquals(2, allocator.ask(0, request(3, wanted = 2, held = 0, allocatorEpoch = 1)))
    }

    @Test
    fun allocatorThatMissedAViewGrantsNothingUntilAllReportAgain() {
        val leased = view.copy(leased = true)
        val allocator = CreditAllocator(self, CreditSettings(), leased, epoch = 1, now)
        for (daemon in 0..2) allocator.ask(daemon, request(1, wanted = 0, held = 0, allocatorEpoch = 1))
        // While this daemon is excluded without knowing it, another daemon allocates and grants two slots.
        now += CreditSettings().lease + CreditSettings().maxExchangeTime
        allocator.viewChanged(leased.copy(version = 3), now)

        val asked = request(2, wanted = 2, held = 0, allocatorEpoch = 1).copy(view = 3)
        val answer = allocator.handleRequest(daemons[0], asked, now)?.grants?.single()
        assertEquals(0 to false, answer?.slots to answer?.share, "others may hold slots that the other daemon granted")
        for (daemon in 1..2) {
            allocator.ask(daemon, request(2, wanted = 2, held = 3 - daemon, allocatorEpoch = 1).copy(view = 3))
        }
        val late = allocator.handleRequest(daemons[0], asked.copy(sequence = 3), now)?.grants?.single()
        assertEquals(0 to false, late?.slots to late?.share, "three slots are held although only two can be leased")
    }

    @Test
    fun outdatedRequestsAreIgnored() {
        val allocator = allocator(epoch = 1)
        allocator.ask(0, request(5, wanted = 0, held = 0, allocatorEpoch = 1))
        val outdated = request(4, wanted = 0, held = 0, allocatorEpoch = 1)
        assertEquals(null, allocator.handleRequest(daemons[0], outdated, now))
        assertEquals(null, allocator.handleRequest(daemons[0], outdated.copy(view = 0, sequence = 6), now))
    }
}
