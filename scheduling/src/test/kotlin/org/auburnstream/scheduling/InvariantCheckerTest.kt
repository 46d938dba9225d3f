package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Each rule is kept by the coordinator, and its oracle notices a coordinator that breaks it. */
class InvariantCheckerTest {
    private val small = StepDescription(count = 3, demand = Resources(1_000, 100), estimateMs = 500)
    private val lasting = small.copy(lasting = true, mayMiss = 1, maxPerWorker = 1)

    private fun fleet() = VirtualFleet.withWorkers(4, seed = 3)

    /** Plays [load] as it is, which must keep [rule], and once more with [fault], which must break it. */
    private fun check(invariant: Invariant, load: VirtualFleet.() -> Unit, fault: VirtualFleet.(Action) -> List<Action>) {
        val sound = fleet().apply(load)
        sound.run(40.seconds)
        sound.checkEnd()
        assertEquals(emptyList(), sound.violations)

        val faulty = fleet()
        faulty.mutate = { faulty.fault(it) }
        faulty.load()
        faulty.run(40.seconds)
        faulty.checkEnd()
        assertContains(faulty.violations.map { it.invariant }, invariant)
    }

    @Test
    fun aTaskHasOneRunAtATime() = check(Invariant.TWICE, { offer("job", small) }) { action ->
        val others = workers.values.map { it.profile }
        if (action is Action.Start) others.map { action.copy(worker = it) } else listOf(action)
    }

    @Test
    fun aTaskThatIsDoneDoesNotStartAgain() = check(Invariant.TWICE, { offer("job", small.copy(count = 1)) }) { action ->
        if (action is Action.Start) at(5.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun aStepStartsAfterThoseThatItDependsOn() =
        check(Invariant.ORDER, { offer("job", small, small.copy(dependsOn = listOf(0))) }) { action ->
            val run = (action as? Action.Start)?.run
            if (run?.task?.step?.step != 0) return@check listOf(action)
            val early = RunId(run.task.copy(step = run.task.step.copy(step = 1)), number = 1)
            listOf(action, action.copy(run = early))
        }

    @Test
    fun aTaskStartsNoMoreAfterItsAttempts() = check(
        Invariant.BUDGET,
        {
            workers.values.forEach { it.fails = true }
            offer("job", small.copy(count = 1))
        },
    ) { action ->
        if (action is Action.Start) at(15.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun noWorkerIsBroughtOverItsCapacity() = check(Invariant.ROOM, { offer("job", small.copy(count = 8)) }) { action ->
        listOf(if (action is Action.Start) action.copy(worker = workers.values.first().profile) else action)
    }

    @Test
    fun noWorkerRunsMoreTasksOfAStepThanItMay() =
        check(Invariant.ROOM, { offer("job", small.copy(maxPerWorker = 1)) }) { action ->
            listOf(if (action is Action.Start) action.copy(worker = workers.values.first().profile) else action)
        }

    @Test
    fun theMembersOfAGangStartTogether() =
        check(Invariant.GANG, { offer("job", small.copy(gang = true, estimateMs = 9_000)) }) { action ->
            if (action is Action.Start && action.run.task.index == 2) emptyList() else listOf(action)
        }

    @Test
    fun nothingStartsThatNobodyAskedFor() = check(Invariant.UNASKED, { offer("job", small) }) { action ->
        listOf(if (action is Action.Start) action.copy(payload = "other") else action)
    }

    @Test
    fun nothingStartsOnceItsJobWasCancelled() = check(
        Invariant.UNASKED,
        {
            offer("job", small.copy(estimateMs = 30_000))
            at(1.seconds) { call { Event.CancelRequested(it, JobId("job")) } }
        },
    ) { action ->
        if (action is Action.Start) at(9.seconds) { inject(later(action)) }
        listOf(action)
    }

    @Test
    fun nothingStartsThatWasRefused() = check(Invariant.REFUSED, { offer("job", small) }) { action ->
        val refusal = Reply.NotAccepted(RefusalReason.OVERLOADED, 1.seconds)
        listOf(if (action is Action.Answer && action.reply == Reply.Accepted) action.copy(reply = refusal) else action)
    }

    @Test
    fun nothingIsLostThatWasAccepted() = check(Invariant.LOST, { offer("job", small) }) { action ->
        if (action !is Action.Commit) return@check listOf(action)
        val kept = action.batch.records.filterNot { it is Record.JobAccepted }
        listOf(Action.Commit(action.batch.copy(records = kept)))
    }

    @Test
    fun noJobIsShownAsCompleteBeforeItsTasksAreDone() = check(Invariant.LOST, { offer("job", small) }) { action ->
        if (action !is Action.Commit) return@check listOf(action)
        // The end of a run that has just been claimed is made up.
        val claims = action.batch.records.filterIsInstance<Record.RunClaimed>()
        val ends = claims.map { Record.RunEnded(it.run, it.life, RunEnd.DONE) }
        listOf(Action.Commit(action.batch.copy(records = action.batch.records + ends)))
    }

    @Test
    fun plannedWorkEndsNoMoreLastingTasksThanMayBeMissed() = check(Invariant.AVAILABILITY, {
        offerWave(cap = 1)
    }) { action ->
        if (action !is Action.OrderUpkeep) return@check listOf(action)
        val stops = workers.values.filter { it.isUp }.flatMap { worker ->
            worker.rows().map { Action.Stop(worker.profile, it.run) }
        }
        stops + action
    }

    @Test
    fun aWaveTakesDownNoMoreVmsThanItsCap() = check(Invariant.WAVE_CAP, { offerWave(cap = 1) }) { action ->
        if (action !is Action.OrderUpkeep) return@check listOf(action)
        workers.values.filter { it.isUp }.map { action.copy(vm = checkNotNull(it.profile.vm)) }
    }

    @Test
    fun noVmIsOrderedByTwoLeadersInTurn() = check(
        Invariant.ONE,
        {
            offerWave(cap = 4)
            at(1_100.milliseconds) { changeLeader() }
        },
    ) { action ->
        // The next leader repeats at once what the earlier one may have ordered.
        if (action is Action.OrderUpkeep) at(500.milliseconds) { inject(action) }
        listOf(action)
    }

    private fun VirtualFleet.offerWave(cap: Int) {
        offer("job", lasting)
        val vms = List(4) { VmId("vm-w$it") }
        at(1.seconds) { call { Event.WaveSubmitted(it, 7, vms, 30.seconds, cap) } }
    }

    private fun later(order: Action.Start): Action.Start =
        order.copy(run = order.run.copy(number = order.run.number + 10), untilMs = order.untilMs + 60_000)
}
