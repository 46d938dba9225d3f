package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tests what a capped tenant has running on eight workers of four processors each, as the workers see it.
 *
 * Guards against starts that a cap forbids, through leaders, faults and changes of the catalog, and against work that
 * a cap holds back needlessly or that takes capacity while it is held back.
 */
class TenantCapsTest {
    private val task = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 1_000)
    private val small = TenantName("small")
    private val other = TenantName("other")

    private fun tenant(name: TenantName, cap: Resources) = Tenant(name, emptyList(), weight = 1.0, cap)

    private fun fleet(cap: Resources, seed: Int = 1): VirtualFleet {
        val fleet = VirtualFleet.withWorkers(8, seed)
        fleet.submitCatalog(1, tenant(small, cap), tenant(other, Resources.None))
        fleet.run(100.milliseconds)
        return fleet
    }

    private fun VirtualFleet.running(tenant: TenantName): Resources {
        val runs = workers.values.filter { it.isUp }.flatMap { it.rows() }.map { it.run.task }
        return runs.filter { state.jobs[it.step.job]?.owner?.tenant == tenant }
            .fold(Resources.None) { sum, task -> sum + checkNotNull(state.stepOf(task)).demand }
    }

    private fun VirtualFleet.peak(tenant: TenantName, duration: Duration): Long {
        var peak = 0L
        repeat((duration / 10.milliseconds).toInt()) {
            run(10.milliseconds)
            peak = maxOf(peak, running(tenant).millicores)
        }
        return peak
    }

    @Test
    fun aTenantStartsNoMoreThanItsCapAndOthersUseTheRest() {
        val fleet = fleet(Resources(millicores = 5_000))
        fleet.submit("capped", task.copy(count = 20), tenant = small)
        fleet.submit("free", task.copy(count = 20), tenant = other)
        fleet.run(500.milliseconds)

        assertEquals(5_000, fleet.running(small).millicores)
        assertEquals(20_000, fleet.running(other).millicores)
        assertEquals(5_000, fleet.state.usageByTenant()[small]?.millicores)
        assertEquals(5_000, fleet.peak(small, 8.seconds), "peak")
        assertEquals(JobPhase.COMPLETE, fleet.phase("capped"))
        assertEquals(1, fleet.eventCounts["tenant_capped"])
    }

    /** The operator tolerates one task beyond the cap, and a task that never starts would be lost. */
    @Test
    fun aTaskLargerThanTheCapStartsAlone() {
        val fleet = fleet(Resources(millicores = 3_000))
        fleet.submit("large", task.copy(count = 2, demand = Resources(3_500, 100)), tenant = small)
        fleet.submit("gang", task.copy(count = 2, demand = Resources(2_000, 100), gang = true), tenant = small)

        assertEquals(3_500, fleet.peak(small, 5.seconds), "peak")
        assertEquals(JobPhase.COMPLETE, fleet.phase("large"))
        assertEquals(JobPhase.ACTIVE, fleet.phase("gang"))
    }

    @Test
    fun unansweredStartsCountTowardsTheCap() {
        repeat(10) { seed ->
            val fleet = fleet(Resources(millicores = 5_000), seed)
            fleet.lateOrderShare = 0.5
            repeat(20) { fleet.submit("job$it", task.copy(count = 2), tenant = small) }

            assertTrue(fleet.peak(small, 15.seconds) <= 5_000, "seed $seed")
        }
    }

    @Test
    fun aLeaderElectedInMidBurstCountsTheRunsOfEarlierLeaders() {
        repeat(10) { seed ->
            val fleet = fleet(Resources(millicores = 5_000), seed)
            fleet.lateOrderShare = 0.2
            repeat(20) { fleet.submit("job$it", task.copy(count = 2), tenant = small) }
            repeat(8) { fleet.at((200 + 310 * it).milliseconds) { fleet.changeLeader() } }

            assertTrue(fleet.peak(small, 15.seconds) <= 5_000, "seed $seed")
        }
    }

    @Test
    fun aCapLoweredFarBelowWhatRunsStopsNothingAndStartsNothing() {
        val fleet = fleet(Resources(millicores = 8_000))
        fleet.submit("long", task.copy(count = 8, estimateMs = 5_000), tenant = small)
        fleet.run(500.milliseconds)
        fleet.submitCatalog(2, tenant(small, Resources(millicores = 2_000)))
        fleet.submit("more", task.copy(count = 4), tenant = small)
        fleet.run(3.seconds)

        assertEquals(8_000, fleet.running(small).millicores)
        assertEquals(0, fleet.startedAt.keys.count { it.step.job == JobId("more") })
        assertTrue(fleet.peak(small, 10.seconds) <= 8_000)
        assertEquals(JobPhase.COMPLETE, fleet.phase("more"))
    }

    @Test
    fun theLowestCapOfCatalogsThatRaceHolds() {
        val fleet = fleet(Resources(millicores = 2_000))
        // The jobs arrive while the first batch is being committed, with two catalogs behind it.
        fleet.submitCatalog(2, tenant(small, Resources(millicores = 9_000)))
        fleet.submitCatalog(4, tenant(small, Resources(millicores = 4_000)))
        fleet.submitCatalog(3, tenant(small, Resources(millicores = 12_000)))
        repeat(20) { fleet.submit("job$it", task, tenant = small) }

        assertEquals(4_000, fleet.peak(small, 3.seconds))
    }

    /** Returns a fleet after 5 s, in which a tenant lacks processors for [gang] beside large tasks of another. */
    private fun besideGang(gang: StepDescription?): VirtualFleet {
        val fleet = fleet(Resources(millicores = 6_000))
        fleet.spares.add(VmId("spare"))
        fleet.submit("first", task.copy(count = 4, estimateMs = 6_000), tenant = small)
        gang?.let { fleet.submit("gang", it, tenant = small) }
        fleet.submit("later", task.copy(count = 2), tenant = small)
        fleet.run(2.seconds)
        assertEquals(0, fleet.moves, "no VM moves for a capped tenant")
        fleet.submit("whole", task.copy(count = 6, demand = Resources(4_000, 100)), tenant = other)
        fleet.run(3.seconds)
        return fleet
    }

    @Test
    fun aGangThatItsTenantMayNotRunAsAWholeWaitsWithoutTakingCapacity() {
        val gang = task.copy(count = 4, gang = true)
        val fleet = besideGang(gang)
        val movesWithoutGang = besideGang(gang = null).moves

        assertEquals(JobPhase.COMPLETE, fleet.phase("later"), "the gang blocks nothing of its tenant")
        assertEquals(JobPhase.COMPLETE, fleet.phase("whole"), "no worker is reserved")
        assertEquals(0, fleet.startedAt.keys.count { it.step.job == JobId("gang") })
        assertEquals(movesWithoutGang, fleet.moves, "no VM moves for a capped tenant")
        fleet.run(5.seconds)
        assertEquals(JobPhase.COMPLETE, fleet.phase("gang"))
    }

    @Test
    fun lastingTasksBeyondTheCapEvictNothing() {
        val fleet = fleet(Resources(millicores = 2_000))
        fleet.submit("busy", task.copy(count = 32, estimateMs = 8_000), tenant = other)
        fleet.run(500.milliseconds)
        fleet.submit("lasting", task.copy(count = 6, lasting = true), tenant = small)
        fleet.run(4.seconds)

        assertEquals(2_000, fleet.running(small).millicores)
        assertEquals(30_000, fleet.running(other).millicores)
    }

    @Test
    fun tasksThatUseOnlyLeftoverTimeCountWithTheirDemand() {
        val fleet = fleet(Resources(millicores = 3_000))
        fleet.submit("fill", task.copy(count = 12, fillsUnused = true), tenant = small)

        assertEquals(3_000, fleet.peak(small, 3.seconds))
    }

    @Test
    fun acceptedJobsOfARemovedTenantGoOn() {
        val fleet = fleet(Resources(millicores = 1_000))
        fleet.submit("job", task.copy(count = 8), tenant = small)
        fleet.run(500.milliseconds)
        fleet.submitCatalog(2)
        fleet.run(4.seconds)

        assertEquals(JobPhase.COMPLETE, fleet.phase("job"))
    }

    @Test
    fun eachDimensionHasItsOwnCap() {
        val fleet = fleet(Resources(memoryMegabytes = 250))
        fleet.submit("job", task.copy(count = 8), tenant = small)

        assertEquals(2_000, fleet.peak(small, 2.seconds))
    }
}
