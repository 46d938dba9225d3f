package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests that the invariants hold when all features and faults occur together.
 *
 * The load combines loans, a wave, lasting tasks, gangs and cancellations; the faults are slow workers and changes of
 * the leader.
 */
class MixedFaultsTest {
    private val task = StepDescription(count = 2, demand = Resources(1_000, 100), estimateMs = 1_000)
    private val lasting = task.copy(count = 4, lasting = true, mayMiss = 1, maxPerWorker = 2)
    private val queues = listOf("plates", "proofs").map {
        VirtualFleet.QUEUE.copy(name = QueueName(it), service = ServiceId(it))
    }

    private fun fleet(seed: Int): VirtualFleet {
        val fleet = VirtualFleet(seed)
        fleet.start()
        val services = queues.map { ServiceTerms(it.service) } + ServiceTerms(VirtualFleet.SPARE, spare = true)
        fleet.call { Event.CatalogSubmitted(it, Catalog(version = 1, queues, services), document = "{}") }
        queues.forEach { queue -> repeat(5) { fleet.addWorker("${queue.name}$it", queue.service) } }
        repeat(4) { fleet.spares.add(VmId("spare$it")) }
        return fleet
    }

    private fun VirtualFleet.submitLoad() {
        queues.forEach { submit("service-${it.name}", lasting, queue = it) }
        repeat(100) { number ->
            // The queues get load in turns of three seconds.
            val queue = queues[number / 15 % 2]
            val step = when (number % 10) {
                3 -> task.copy(count = 4, gang = true)
                5 -> task.copy(estimateMs = 4_000, savesProgress = true)
                else -> task
            }
            at((number * 200).milliseconds) {
                submit("job$number", step, step.copy(dependsOn = listOf(0)), queue = queue)
            }
            if (number % 12 == 7) {
                at((number * 200 + 900).milliseconds) { call { Event.CancelRequested(it, JobId("job$number")) } }
            }
        }
        val vms = queues.flatMap { queue -> List(5) { VmId("vm-${queue.name}$it") } }
        at(4.seconds) { call { Event.WaveSubmitted(it, 7, vms, 30.seconds, cap = 3) } }
    }

    @Test
    fun allInvariantsHold() {
        repeat(40) { seed ->
            val fleet = fleet(seed)
            fleet.submitLoad()
            repeat(4) { number ->
                fleet.at((3_000 + number * 4_700 + seed * 37).milliseconds) { fleet.changeLeader() }
            }
            fleet.at((6_000 + seed * 91).milliseconds) { fleet.workers.values.last { it.isUp }.slowness = 6.0 }
            fleet.run(80.seconds)
            fleet.checkFinalState()

            assertEquals(emptyList(), fleet.violations, "seed $seed")
            assertTrue(fleet.state.waves.getValue(7).isComplete, "seed $seed: the wave is late")
        }
    }

    @Test
    fun aNewLeaderLendsVmsWithoutRecentOrdersAtOnce() {
        val waits = ArrayList<Duration>()
        repeat(10) { seed ->
            val fleet = fleet(seed)
            fleet.run(6.seconds)
            fleet.changeLeader()
            fleet.run(300.milliseconds)
            repeat(120) { fleet.submit("job$it", task.copy(count = 1), queue = queues[0]) }
            val since = fleet.now
            fleet.run(20.seconds)
            val last = fleet.startedAt.values.max()
            assertEquals(emptyList(), fleet.violations, "seed $seed")
            waits.add(last - since)
        }

        // 20 tasks run at a time until the loans arrive; without loans for 3 s the last starts after 4.8 s or more.
        assertTrue(waits.all { it < 4_000.milliseconds }, waits.toString())
    }
}
