package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks for each invariant that the coordinator keeps it and that [InvariantChecker] detects its violation.
 *
 * Guards against a checker that reports no violations because it does not notice them.
 */
class InvariantCheckerTest {
    private val small = StepDescription(count = 3, demand = Resources(1_000, 100), estimateMs = 500)
    private val lasting = small.copy(lasting = true, mayMiss = 1, maxPerWorker = 1)

    private fun fleet() = VirtualFleet.withWorkers(4, seed = 3)

    /** Runs [load] without a fault, which must cause no violation, and with [fault], which must violate [invariant]. */
    private fun check(
        invariant: Invariant,
        load: VirtualFleet.() -> Unit,
        fault: VirtualFleet.(Action) -> List<Action>,
    ) {
        val sound = fleet().apply(load)
        sound.run(40.seconds)
        sound.checkFinalState()
        assertEquals(emptyList(), sound.violations)

        val faulty = fleet()
        faulty.mutate = { faulty.fault(it) }
        faulty.load()
        faulty.run(40.seconds)
        faulty.checkFinalState()
        assertContains(faulty.violations.map { it.invariant }, invariant)
    }

    @Test
    fun aTaskHasOneRunAtATime() = check(Invariant.TWICE, { submit("job", small) }) { action ->
        val others = workers.values.map { it.profile }
        if (action is Action.Start) others.map { action.to(it) } else listOf(action)
    }

    @Test
    fun aTaskThatIsDoneDoesNotStartAgain() = check(Invariant.TWICE, {
        submit("job", small.copy(count = 1))
    }) { action ->
        if (action is Action.Start) at(5.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun aCompletedTaskMayRestartOnlyAfterTheLeaseOfItsWorkerHasExpired() {
        val startsAgainAt = mapOf(
            2.seconds to listOf(Invariant.TWICE),
            10.seconds to emptyList(),
            // By now the end is recorded, so no order may be sent.
            16.seconds to listOf(Invariant.TWICE),
        )
        for ((delay, expected) in startsAgainAt) {
            val fleet = fleet()
            fleet.mutate = { action ->
                if (action is Action.Start && action.run.number == 1) {
                    // The run ends behind a cut, which outlasts the lease.
                    val worker = fleet.workers.getValue(action.worker.incarnation.worker)
                    fleet.at(100.milliseconds) {
                        worker.isReachable = false
                        worker.canSend = false
                    }
                    fleet.at(14.seconds) {
                        worker.isReachable = true
                        worker.canSend = true
                    }
                    val other = fleet.workers.values.first { it !== worker }
                    fleet.at(delay) {
                        fleet.inject(later(action, index = 8).to(other.profile))
                    }
                }
                // Only the injected order starts the task again.
                listOf(action).filterNot { it is Action.Start && it.run.number > 1 }
            }
            fleet.submit("job", small.copy(count = 1, estimateMs = 500))
            fleet.run(40.seconds)

            assertEquals(expected, fleet.violations.map { it.invariant }.distinct(), "again after $delay")
        }
    }

    @Test
    fun theSlowerRunOfATaskIsStopped() = check(Invariant.COPIES, { submitCopied() }) { action ->
        val isLoser = action is Action.Stop && state.isTaskDone(action.run.task)
        if (isLoser) emptyList() else listOf(action)
    }

    @Test
    fun noCopyStartsLongAfterItsTaskIsDone() = check(Invariant.TWICE, { submitCopied() }) { action ->
        if (action is Action.Start) at(12.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun aTaskHasAtMostTwoRuns() = check(Invariant.COPIES, { submitCopied() }) { action ->
        val others = workers.values.map { it.profile }
        if (action is Action.Start) {
            others.mapIndexed { index, worker -> later(action).copy(worker = worker, run = later(action, index).run) }
        } else {
            listOf(action)
        }
    }

    /** Submits jobs of a step that allows copies; the first run of one late task takes 8 s. */
    private fun VirtualFleet.submitCopied() {
        workOfRun = { run, _ -> if (run.task.step.job.value == "job20" && run.number == 1) 8_000 else 500 }
        repeat(21) { number ->
            at((number * 300).milliseconds) { submit("job$number", small.copy(count = 1, allowsCopies = true)) }
        }
    }

    @Test
    fun aStepStartsAfterItsDependencies() =
        check(Invariant.ORDER, { submit("job", small, small.copy(dependsOn = listOf(0))) }) { action ->
            val run = (action as? Action.Start)?.run
            if (run?.task?.step?.step != 0) return@check listOf(action)
            val early = RunId(run.task.copy(step = run.task.step.copy(step = 1)), number = 1)
            listOf(action, action.copy(run = early))
        }

    @Test
    fun aTaskDoesNotStartAfterItsLastAttempt() = check(
        Invariant.BUDGET,
        {
            workers.values.forEach { it.fails = true }
            submit("job", small.copy(count = 1))
        },
    ) { action ->
        if (action is Action.Start) at(15.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun noWorkerExceedsItsCapacity() = check(Invariant.ROOM, { submit("job", small.copy(count = 8)) }) { action ->
        listOf(if (action is Action.Start) action.to(workers.values.first().profile) else action)
    }

    @Test
    fun noWorkerExceedsTheStepsMaxPerWorker() =
        check(Invariant.ROOM, { submit("job", small.copy(maxPerWorker = 1)) }) { action ->
            listOf(if (action is Action.Start) action.to(workers.values.first().profile) else action)
        }

    @Test
    fun theMembersOfAGangStartTogether() =
        check(Invariant.GANG, { submit("job", small.copy(gang = true, estimateMs = 9_000)) }) { action ->
            if (action is Action.Start && action.run.task.index == 2) emptyList() else listOf(action)
        }

    @Test
    fun onlySubmittedPayloadsStart() = check(Invariant.UNASKED, { submit("job", small) }) { action ->
        listOf(if (action is Action.Start) action.copy(payload = "other") else action)
    }

    @Test
    fun noTaskStartsAfterItsJobWasCancelled() = check(
        Invariant.UNASKED,
        {
            submit("job", small.copy(estimateMs = 30_000))
            at(1.seconds) { call { Event.CancelRequested(it, JobId("job")) } }
        },
    ) { action ->
        if (action is Action.Start) at(9.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun noTaskOfARefusedJobStarts() = check(Invariant.REFUSED, { submit("job", small) }) { action ->
        val refusal = Reply.NotAccepted(RefusalReason.OVERLOADED, 1.seconds)
        listOf(if (action is Action.Answer && action.reply == Reply.Accepted) action.copy(reply = refusal) else action)
    }

    @Test
    fun noAcceptedJobIsLost() = check(Invariant.LOST, { submit("job", small) }) { action ->
        if (action !is Action.Commit) return@check listOf(action)
        val kept = action.batch.records.filterNot { it is Record.JobAccepted }
        listOf(Action.Commit(action.batch.copy(records = kept)))
    }

    @Test
    fun noJobIsShownAsCompleteBeforeItsTasksAreDone() = check(Invariant.LOST, { submit("job", small) }) { action ->
        if (action !is Action.Commit) return@check listOf(action)
        // Adds forged completions of the runs that the batch claims.
        val claims = action.batch.records.filterIsInstance<Record.RunClaimed>()
        val ends = claims.map { Record.RunEnded(it.run, it.incarnation, RunEnd.DONE) }
        listOf(Action.Commit(action.batch.copy(records = action.batch.records + ends)))
    }

    @Test
    fun plannedMaintenanceKeepsTheDisruptionLimit() = check(Invariant.AVAILABILITY, {
        offerWave(cap = 1)
    }) { action ->
        if (action !is Action.OrderUpkeep) return@check listOf(action)
        val stops = workers.values.filter { it.isUp }.flatMap { worker ->
            worker.rows().map { Action.Stop(worker.profile, OrderFence.MAX_EPOCH, it.run, answerTimeout = 1.seconds) }
        }
        stops + action
    }

    @Test
    fun aWaveTakesDownNoMoreVmsThanItsCap() = check(Invariant.WAVE_CAP, { offerWave(cap = 1) }) { action ->
        if (action !is Action.OrderUpkeep) return@check listOf(action)
        workers.values.filter { it.isUp }.map { action.copy(vm = checkNotNull(it.profile.vm)) }
    }

    @Test
    fun noVmIsOrderedByTwoLeadersWithinALease() = check(
        Invariant.ONE,
        {
            offerWave(cap = 4)
            at(1_100.milliseconds) { changeLeader() }
        },
    ) { action ->
        // Makes the next leader resend the order of the previous leader at once.
        if (action is Action.OrderUpkeep) at(500.milliseconds) { inject(action) }
        listOf(action)
    }

    private fun VirtualFleet.offerWave(cap: Int) {
        submit("job", lasting)
        val vms = List(4) { VmId("vm-w$it") }
        at(1.seconds) { call { Event.WaveSubmitted(it, 7, vms, 30.seconds, cap) } }
    }

    private fun later(order: Action.Start, index: Int = 0): Action.Start =
        order.copy(run = order.run.copy(number = order.run.number + 10 + index), untilMs = order.untilMs + 60_000)

    /** Returns the order for [worker], which accepts it whatever it was sent before. */
    private fun Action.Start.to(worker: WorkerProfile): Action.Start =
        copy(worker = worker, epoch = OrderFence.MAX_EPOCH)
}
