package org.auburnstream.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against jobs that run twice or not at all, exceeded quotas, overloaded workers, and wrong quarantines after
 * job failures.
 */
class JobTest {
    private val fleet = FleetFixture()
    private val team = TeamId("t1")
    private val workers = pool(1)
    private val usage = UsageEstimator()
    private val reports = FleetReports(MonotonicTime.Zero)
    private val planner = FleetPlanner(usage = usage) { MonotonicTime.Zero }
    private val sequences = hashMapOf<VmId, Long>()
    private val now get() = MonotonicTime((fleet.now - start).inWholeNanoseconds)

    private fun build(count: Int, limit: Resources = Resources(1_000_000, 1_000_000, 100)) {
        fleet.apply(FleetCommand.DefinePool(fleet.operation(), Pool(workers)))
        repeat(count) { fleet.apply(FleetCommand.RegisterVm(worker(it))) }
        fleet.apply(JobCommand.SetQuota(fleet.operation(), TeamQuota(team, limit)))
    }

    private fun worker(number: Int): Announcement =
        announcement(number, workers).copy(processors = 16, memoryMegabytes = 32_000)

    private fun spec(name: String, cores: Long = 4, urgency: Urgency = Urgency.NORMAL) =
        JobSpec(JobId(name), team, workers, Resources(cores * 1000, cores * 2000), urgency)

    private fun submit(spec: JobSpec) = fleet.refusal(JobCommand.SubmitJob(fleet.operation(), spec))

    /** Advances the clock by [time], announces every VM and applies the commands of one plan. */
    private fun step(time: Duration = 200.milliseconds): FleetPlan {
        fleet.now += time
        fleet.state.vms.values.forEach { reports.onAnnouncement(worker(it.id.value.drop(2).toInt()), now) }
        val plan = planner.plan(fleet.state, reports, fleet.now, now)
        plan.commands.forEach { fleet.apply(it, Duration.ZERO) }
        return plan
    }

    private fun report(vm: VmId, used: (Job) -> Resources = { it.spec.declared }, end: (Job) -> JobEnd? = { null }) {
        val jobs = fleet.state.jobsOn(vm)
        val sequence = (sequences[vm] ?: 0) + 1
        sequences[vm] = sequence
        val jobReports = jobs.map { JobReport(it.spec.id, (it.phase as JobPhase.Running).lease, used(it), end(it)) }
        val sum = jobs.fold(Resources.None) { all, job -> all + used(job) }
        usage.onReport(WorkerReport(vm, sequence, 2.seconds, sum, jobReports), fleet.state, now)
    }

    private fun running(id: String) = fleet.state.jobs[JobId(id)]?.phase as? JobPhase.Running

    @Test
    fun `a job that can never run is refused at submission with the reason`() {
        build(2, limit = Resources(40_000, 100_000, 0))
        val cases =
            listOf(
                spec("a").copy(team = TeamId("other")) to JobRefusal.NoQuota(TeamId("other")),
                spec("a").copy(pool = pool(9)) to FleetRefusal.UnknownPool(pool(9)),
                spec("a", cores = 41) to JobRefusal.ExceedsQuota(team, Resources(40_000, 100_000, 0)),
                spec("a", cores = 17) to JobRefusal.ExceedsWorkers(workers, Resources(16_000, 32_000, 0)),
            )
        cases.forEach { (spec, refusal) -> assertEquals(refusal, submit(spec)) }
        assertNull(submit(spec("a")))
        assertEquals(JobRefusal.JobExists(JobId("a")), submit(spec("a")))
    }

    @Test
    fun `running jobs never exceed the quota and the rest stays queued`() {
        build(4, limit = Resources(9_000, 100_000, 0))
        repeat(6) { submit(spec("j$it")) }
        repeat(3) { step() }
        assertEquals(2, fleet.state.jobs.values.count { it.phase is JobPhase.Running })
        val queued = fleet.state.queuedJobs().first()
        assertEquals(JobRefusal.QuotaUsed(team), fleet.refusal(JobCommand.PlaceJob(queued.spec.id, vm(0))))
    }

    @Test
    fun `placement uses observed usage instead of declared sizes`() {
        build(1)
        repeat(3) { submit(spec("seed$it", cores = 4)) }
        step()
        repeat(40) { report(vm(0), used = { Resources(500, 800) }) }
        repeat(12) { submit(spec("more$it", cores = 4)) }
        step()
        val small = fleet.state.jobsOn(vm(0)).size
        assertTrue(small > 8, "only $small jobs that use an eighth of their declared size")
        repeat(60) { report(vm(0), used = { Resources(9000, 9000) }) }
        submit(spec("late"))
        step()
        assertNull(running("late"), "jobs that use twice their declared size leave no free capacity")
    }

    @Test
    fun `on an overloaded worker the least urgent job is throttled and then checkpointed`() {
        build(1)
        submit(spec("batch", cores = 2, urgency = Urgency.BATCH))
        submit(spec("urgent", cores = 2, urgency = Urgency.URGENT))
        step()
        val heavyUse: (Job) -> Resources = { Resources(9000, 1000) }
        val actions =
            (1..5).map {
                repeat(2) { report(vm(0), used = heavyUse) }
                step()
                running("batch")?.action to running("urgent")?.action
            }
        val expected =
            listOf(
                JobAction.THROTTLE to null,
                JobAction.THROTTLE to JobAction.THROTTLE,
                JobAction.CHECKPOINT to JobAction.THROTTLE,
            )
        assertEquals(expected, actions.take(3))
        report(vm(0), end = { job -> JobEnd.CHECKPOINTED.takeIf { job.spec.id == JobId("batch") } })
        step()
        assertEquals(true, fleet.state.jobs.getValue(JobId("batch")).hasCheckpoint)
    }

    @Test
    fun `an urgent job preempts batch jobs and starts within the time limit`() {
        build(2)
        repeat(6) { submit(spec("b$it", cores = 4, urgency = Urgency.BATCH)) }
        step()
        val submitted = fleet.now
        submit(spec("urgent", cores = 4, urgency = Urgency.URGENT))
        while (running("urgent") == null && fleet.now - submitted < 5.seconds) {
            step()
            val leaving = { job: Job -> (job.phase as JobPhase.Running).action == JobAction.CHECKPOINT }
            listOf(vm(0), vm(1)).forEach { report(it, end = { job -> JobEnd.CHECKPOINTED.takeIf { leaving(job) } }) }
        }
        assertNotNull(running("urgent"))
        // The operator's command itself advances the fixture's clock by one second.
        assertTrue(fleet.now - submitted - 1.seconds < 1.4.seconds, "${fleet.now - submitted}")
    }

    @Test
    fun `cancelling a team's jobs stops the running ones and does not affect other teams`() {
        build(2)
        repeat(500) { submit(spec("j$it", cores = 4)) }
        step()
        val other = TeamId("t2")
        fleet.apply(JobCommand.SetQuota(fleet.operation(), TeamQuota(other, Resources(99_000, 99_000))))
        submit(spec("kept").copy(team = other))
        assertNull(fleet.refusal(JobCommand.CancelJobs(fleet.operation(), team)))
        val left = fleet.state.jobs.values.toList()
        assertTrue(left.all { it.spec.team == other || (it.phase as JobPhase.Running).cancelled })
        val plan = step()
        assertTrue(plan.requests.filterIsInstance<PlatformRequest.ApplyJobAction>().all { it.action == JobAction.STOP })
        listOf(vm(0), vm(1)).forEach { vm -> report(vm, end = { JobEnd.STOPPED }) }
        step()
        assertEquals(JobResult.CANCELLED, fleet.state.finishedJobs.getValue(JobId("j0")).result)
    }

    @Test
    fun `jobs of a lost worker are requeued when their lease expires`() {
        build(2)
        submit(spec("a"))
        step()
        val first = running("a")!!
        fleet.apply(FleetCommand.ReportLost(first.vm, 1))
        val early = planner.plan(fleet.state, reports, fleet.now, now)
        assertTrue(early.commands.none { it is JobCommand.EndJob })
        fleet.now += JOB_LEASE
        val plan = planner.plan(fleet.state, FleetReports(now), fleet.now, now)
        assertEquals(listOf(JobCommand.EndJob(JobId("a"), first.lease, JobEnd.WORKER_LOST)), plan.commands)
    }

    @Test
    fun `a job is not requeued while its lost worker still sends usage reports`() {
        build(2)
        submit(spec("a"))
        step()
        val first = running("a")!!
        fleet.apply(FleetCommand.ReportLost(first.vm, 1))
        repeat(20) {
            fleet.now += 5.seconds
            report(first.vm)
            val plan = planner.plan(fleet.state, FleetReports(now), fleet.now, now)
            assertTrue(plan.commands.none { it is JobCommand.EndJob }, "requeued ${5 * (it + 1)} s after the loss")
        }
        // The last report was measured 2 s before it arrived.
        fleet.now += JOB_LEASE - 2.seconds
        val plan = planner.plan(fleet.state, FleetReports(now), fleet.now, now)
        assertTrue(JobCommand.EndJob(JobId("a"), first.lease, JobEnd.WORKER_LOST) in plan.commands)
    }

    @Test
    fun `a job on a lost worker is not requeued before its lease expires`() {
        build(2)
        submit(spec("a"))
        step()
        val first = running("a")!!
        var leaseEnd = fleet.now
        val renew = {
            val isRenewed = fleet.state.jobsToRenew().any { it.leaseOrNull == first.lease }
            if (isRenewed) leaseEnd = fleet.now + JOB_LEASE
        }
        renew()
        fleet.apply(FleetCommand.ReportLost(first.vm, 1))
        var plan: FleetPlan
        do {
            fleet.now += 2.seconds
            renew()
            plan = planner.plan(fleet.state, FleetReports(now), fleet.now, now)
        } while (plan.commands.none { it is JobCommand.EndJob })
        assertTrue(fleet.now >= leaseEnd, "requeued ${leaseEnd - fleet.now} before its lease expired")
    }

    @Test
    fun `a draining VM gets no permit while jobs run on it`() {
        build(2)
        submit(spec("a"))
        step()
        val first = running("a")!!
        assertNull(
            fleet.refusal(
                FleetCommand.MoveVm(
                    fleet.operation(),
                    first.vm,
                    workers.also {
                        defineSparePool()
                    }.let { spare },
                ),
            ),
        )
        assertIs<JobRefusal.JobsRunning>(fleet.permit(first.vm.value.drop(2).toInt()))
        step()
        assertEquals(JobAction.CHECKPOINT, running("a")?.action)
    }

    private fun defineSparePool() = fleet.apply(FleetCommand.DefinePool(fleet.operation(), Pool(spare)))

    @Test
    fun `faulty workers are quarantined and faulty jobs quarantine no worker`() {
        for (seed in 0 until 40) {
            JobTest().runWithFailures(Random(seed), faultyWorkers = setOf(vm(3)), faultyJobs = 0)
            JobTest().runWithFailures(Random(seed), faultyWorkers = emptySet(), faultyJobs = 60)
            JobTest().runWithFailures(Random(seed), faultyWorkers = setOf(vm(3), vm(7)), faultyJobs = 30)
        }
    }

    /** Runs 120 jobs on 20 workers; faulty workers fail every job at once, faulty jobs fail at once on every worker. */
    private fun runWithFailures(random: Random, faultyWorkers: Set<VmId>, faultyJobs: Int) {
        build(20)
        val names = (0 until 120).map { if (it < faultyJobs) "bad$it" else "good$it" }.shuffled(random)
        val pending = ArrayDeque(names)
        val goodStarts = hashMapOf<VmId, Int>()
        repeat(400) {
            repeat(2) { pending.removeFirstOrNull()?.let { submit(spec(it, cores = 3)) } }
            val plan = step()
            plan.commands
                .filterIsInstance<JobCommand.PlaceJob>()
                .filter { it.job.value.startsWith("good") }
                .forEach { goodStarts.merge(it.vm, 1, Int::plus) }
            fleet.state.vms.keys.forEach { vm ->
                report(vm, end = { job ->
                    val fails = vm in faultyWorkers || job.spec.id.value.startsWith("bad")
                    if (fails) JobEnd.FAILED else JobEnd.SUCCEEDED.takeIf { random.nextInt(6) == 0 }
                })
            }
        }
        val finished = fleet.state.finishedJobs.values
        val failed = finished.filter { it.result == JobResult.FAILS_EVERYWHERE }
        assertEquals(120, finished.size)
        assertEquals(faultyJobs, failed.count { it.spec.id.value.startsWith("bad") })
        assertEquals(failed.size, faultyJobs, "good jobs that failed on a faulty worker succeed on another worker")
        val quarantined = fleet.state.vms.keys.filter { fleet.state.trustOf(it) == WorkerTrust.QUARANTINED }
        assertEquals(faultyWorkers, quarantined.toSet())
        faultyWorkers.forEach { assertTrue((goodStarts[it] ?: 0) <= MAX_GOOD_STARTS_ON_FAULTY_WORKER, "$goodStarts") }
    }

    private companion object {
        const val MAX_GOOD_STARTS_ON_FAULTY_WORKER = 12
    }
}
