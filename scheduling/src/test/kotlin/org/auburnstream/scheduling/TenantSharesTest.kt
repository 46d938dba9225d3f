package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests who is served on eight workers of four processors each while twenty tenants, a few of them large, send five
 * times their mean in turns, and one of them six times its weight all the time.
 *
 * Guards the tenants within their weight against one that sends beyond it.
 */
class TenantSharesTest {
    private val task = StepDescription(count = 4, demand = Resources(1_000, 100), estimateMs = 1_000)
    private val tenants = List(20) { number ->
        Tenant(TenantName("t$number"), emptyList(), weight = if (number < 3) 0.36 else 0.09)
    }
    private val hot = tenants.first()

    /** Arrivals in ms by tenant over 36 s: turns of 4.5 s at five times the mean, a twentieth of it in between. */
    private fun arrivals(seed: Int): List<Pair<Long, Tenant>> {
        val random = Random(seed)
        return tenants.flatMap { tenant ->
            (0L until LENGTH_MS step 10).filter { ms ->
                val isTurn = ms % 18_000 in 4_000..8_500
                val rate = if (tenant == hot) 6 * hot.weight else tenant.weight * (if (isTurn) 4.0 else 0.05)
                random.nextDouble() < rate / 100
            }.map { it to tenant }
        }.sortedBy { it.first }
    }

    /** Share of the jobs owed that met their objective: of the worst two tenants, and of all. */
    private data class Served(val worst: Double, val all: Double)

    private fun serve(seed: Int, queue: Queue = VirtualFleet.QUEUE, hasTenants: Boolean): Served {
        val fleet = VirtualFleet.withWorkers(8, seed)
        if (hasTenants) fleet.submitCatalog(1, *tenants.toTypedArray())
        fleet.run(100.milliseconds)
        val sent = HashMap<Tenant, MutableList<Pair<JobId, Long>>>()
        arrivals(seed).forEachIndexed { number, (ms, tenant) ->
            val id = "job$number"
            fleet.at(ms.milliseconds) {
                sent.getOrPut(tenant) { ArrayList() }.add(JobId(id) to fleet.nowMs)
                fleet.submit(id, task, queue = queue, tenant = tenant.name.takeIf { hasTenants })
            }
        }
        fleet.run((LENGTH_MS + 15_000).milliseconds)
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        val counts = sent.map { (tenant, jobs) ->
            val onTime = jobs.count { (id, atMs) ->
                fleet.state.jobs[id]?.let { it.phase == JobPhase.COMPLETE && it.endedMs - atMs <= OBJECTIVE_MS }
                    ?: false
            }
            val owed = minOf(jobs.size.toDouble(), maxOf(1.0, tenant.weight * LENGTH_MS / 1_000))
            minOf(onTime.toDouble(), owed) to owed
        }
        val worst = counts.map { (onTime, owed) -> onTime / owed }.sorted().take(2).average()
        return Served(worst, counts.sumOf { it.first } / counts.sumOf { it.second })
    }

    private fun mean(serve: (Int) -> Served): Served {
        val runs = List(6) { serve(it) }
        return Served(runs.map { it.worst }.average(), runs.map { it.all }.average())
    }

    @Test
    fun tenantsWithinTheirWeightAreServedBesideOneBeyondIt() {
        // Every job counts as late from the start, and late jobs start in the order of arrival.
        val firstCome = mean { serve(it, VirtualFleet.QUEUE.copy(objectiveMs = -100_000), hasTenants = false) }
        val without = mean { serve(it, hasTenants = false) }
        val with = mean { serve(it, hasTenants = true) }

        assertTrue(with.worst >= without.worst, "worst tenants: $with, without shares $without")
        assertTrue(with.worst > firstCome.worst, "worst tenants: $with, first come $firstCome")
        assertTrue(with.all >= without.all, "all: $with, without shares $without")
    }

    @Test
    fun aFullServiceRefusesOnlyTheExcessAndSaysWhenToComeBack() {
        val fleet = VirtualFleet.withWorkers(2)
        fleet.submitCatalog(1, *tenants.toTypedArray())
        fleet.run(100.milliseconds)
        val calls = List(40) { fleet.submit("hot$it", task, tenant = hot.name).also { fleet.run(50.milliseconds) } }
        val other = fleet.submit("other", task, tenant = tenants.last().name)
        fleet.run(100.milliseconds)

        val refusals = calls.mapNotNull { fleet.replies[it] as? Reply.NotAccepted }
        assertTrue(refusals.size > 20, "${refusals.size} of 40 were refused")
        assertTrue(refusals.all { it.reason == RefusalReason.BEYOND_WEIGHT && it.retryAfter.isPositive() })
        assertEquals(Reply.Accepted, fleet.replies[other])
    }

    @Test
    fun theExcessOfOneTenantDoesNotFillAQueueForOthers() {
        val fleet = VirtualFleet.withWorkers(1, settings = SchedulingSettings(maxWaitingJobs = 10))
        fleet.submitCatalog(1, *tenants.toTypedArray())
        fleet.run(100.milliseconds)
        val patient = VirtualFleet.QUEUE.copy(objectiveMs = 900_000)
        repeat(40) { fleet.submit("hot$it", task, queue = patient, tenant = hot.name) }
        fleet.run(100.milliseconds)
        val other = fleet.submit("other", task, queue = patient, tenant = tenants.last().name)
        fleet.run(100.milliseconds)

        assertEquals(Reply.Accepted, fleet.replies[other])
    }

    @Test
    fun aBucketHoldsSecondsAndRefillsAtTheWeight() {
        val rates = TenantRates()
        val tenant = Tenant(TenantName("a"), emptyList(), weight = 2.0)
        var now = MonotonicTime.Zero
        assertEquals(
            (TenantRates.BURST / 1.seconds * 2).toInt(),
            generateSequence {
                rates.take(tenant, now)
            }.takeWhile { it }.count(),
        )
        now += 1.seconds
        assertEquals(listOf(true, true, false), List(3) { rates.take(tenant, now) })
        assertEquals(listOf(500, 1_000, 1_500), List(3) { rates.pause(tenant, now).inWholeMilliseconds.toInt() })
        rates.giveBack(tenant.name)
        assertTrue(rates.take(tenant, now))
        assertTrue(List(100) { rates.pause(tenant, now) }.max() <= TenantRates.LONGEST_PAUSE)
    }

    @Test
    fun usageIsRememberedForAboutAnObjective() {
        val shares = TenantShares()
        val (big, low) = tenants.drop(5).map { it.name }
        val weights = mapOf(big to 1.0, low to 3.0)
        val usage = mapOf(big to Resources(8_000), low to Resources(2_000))
        val capacity = Resources(10_000, 1_000)
        assertEquals(setOf(big), shares.update(usage, weights, capacity, at(1.seconds)))
        val swapped = mapOf(low to Resources(8_000))
        assertEquals(setOf(big), shares.update(swapped, weights, capacity, at(2.seconds)), "its runs have just ended")
        assertEquals(emptySet(), shares.update(swapped, weights, capacity, at(20.seconds)))
        assertFalse(big in shares.update(usage, mapOf(big to 1.0), capacity, at(21.seconds)), "alone, it has no rival")
    }

    private fun at(time: Duration) = MonotonicTime.Zero + time

    private companion object {
        const val LENGTH_MS = 36_000L

        /** 1.6 times one second, and 600 ms. */
        const val OBJECTIVE_MS = 2_200L
    }
}
