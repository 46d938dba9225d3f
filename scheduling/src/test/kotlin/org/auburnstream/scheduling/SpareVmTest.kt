package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against spare VMs that are forgotten, or moved away from their tasks, because of a list of the platform. */
class SpareVmTest {
    private val plates = VirtualFleet.QUEUE.copy(name = QueueName("plates"), service = ServiceId("plates"))
    private val proofs = VirtualFleet.QUEUE.copy(name = QueueName("proofs"), service = ServiceId("proofs"))
    private val task = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun fleet(seed: Int, spares: Int): VirtualFleet {
        val fleet = VirtualFleet(seed)
        fleet.start()
        val services = listOf(plates, proofs).map { ServiceTerms(it.service) } +
            ServiceTerms(VirtualFleet.SPARE, spare = true)
        val catalog = Catalog(version = 1, queues = listOf(plates, proofs), services)
        fleet.call { Event.CatalogSubmitted(it, catalog, document = "{}") }
        repeat(2) {
            fleet.addWorker("plate$it", plates.service)
            fleet.addWorker("proof$it", proofs.service)
        }
        repeat(spares) { fleet.spares.add(VmId("spare$it")) }
        // By then the first list was read, and the next one is due.
        fleet.run(12.seconds)
        return fleet
    }

    private fun VirtualFleet.burst(queue: Queue, jobs: Int, step: StepDescription = task) =
        repeat(jobs) { submit("${queue.name}-$it-${now.nanoseconds}", step, queue = queue) }

    @Test
    fun aSpareVmMissingFromAListThatWasNotReadWholeIsForgotten() {
        val start = MonotonicTime.Zero
        val spares = List(2) { ListedVm(VmId("spare$it"), VirtualFleet.SPARE.value, VmCondition.UP, worker = null) }
        val moved = spares[1].copy(pool = "plates")
        val damaged = listOf(
            VmListing(emptyList(), start + 5.seconds, isRead = false),
            VmListing(listOf(moved), start + 5.seconds, unreadable = 1),
        )
        for (listing in damaged) {
            val state = SchedulerState(retentionMs = 150_000)
            val services = listOf(ServiceTerms(proofs.service), ServiceTerms(VirtualFleet.SPARE, spare = true))
            val catalog = Catalog(version = 1, queues = listOf(proofs), services)
            state.apply(RecordBatch(1_000, listOf(Record.CatalogAccepted(catalog, document = "{}"))), start)
            val guard = StaleOrderGuard(state, SchedulingSettings(), start)
            val pools = PoolControl(state, SchedulingSettings(), start, guard) { _, _ -> false }
            pools.vmsListed(VmListing(spares, start + 1.seconds))
            pools.vmsListed(listing)
            pools.updateShortages(mapOf(proofs.service to UnplacedDemand(millicores = 1_000)), start + 6.seconds)
            val begun = pools.decide(start + 7.seconds) { _, _ -> Duration.ZERO }.records

            assertEquals(listOf(spares[0].vm), begun.map { (it as Record.MoveBegun).vm })
            val known = if (listing.isRead) 1 else 2
            assertEquals(known - 1, checkNotNull(pools.spareCapacities).size)
        }
    }

    @Test
    fun aVmThatWasBorrowedSinceTheListWasRequestedIsBorrowedAsASpareAgain() {
        repeat(10) { seed ->
            val fleet = fleet(seed, spares = 1)
            val spare = ListedVm(VmId("spare0"), VirtualFleet.SPARE.value, VmCondition.UP, worker = null)
            fleet.mutate = { action ->
                if (action is Action.ListVms) {
                    val listing = VmListing(listOf(spare), action.requestedAt)
                    fleet.at(4.seconds) { fleet.feed(Event.VmsListed(listing)) }
                    emptyList()
                } else {
                    listOf(action)
                }
            }
            fleet.burst(proofs, jobs = 12, task.copy(estimateMs = 15_000))
            fleet.at((3_600 + seed * 20).milliseconds) { fleet.burst(plates, jobs = 40) }
            fleet.run(8.seconds)

            assertEquals(1, fleet.moves, "seed $seed: moves of the spare VM while its tasks run")
            fleet.run(60.seconds)
            fleet.checkFinalState()
            assertEquals(emptyList(), fleet.violations, "seed $seed")
        }
    }
}
