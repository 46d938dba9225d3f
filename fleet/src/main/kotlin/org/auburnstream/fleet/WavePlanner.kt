package org.auburnstream.fleet

import kotlin.time.Instant

/** Chooses the next VM to drain for each running wave, one data centre and rack after the other. */
internal class WavePlanner {
    fun plan(state: FleetState, at: Instant, plan: PlanBuilder) {
        for (wave in state.waves.values) {
            if (wave.status != WaveStatus.RUNNING) continue
            when (val step = nextStep(state, wave, at)) {
                is WaveStep.Drain -> plan.commands += step.command
                is WaveStep.Wait -> plan.notices += FleetNotice.WaveWaits(wave.spec.id, step.reason)
                null -> Unit
            }
        }
    }

    private fun nextStep(state: FleetState, wave: Wave, at: Instant): WaveStep? {
        val id = wave.spec.id
        val inProgress = state.vmsInProgress(id)
        if (inProgress.size >= wave.spec.pace.maxInProgress) {
            return WaveStep.Wait(FleetRefusal.PaceReached(id, inProgress.size))
        }
        var reason: FleetRefusal? = null
        val domain = inProgress.firstOrNull()?.dataCentre
        for (vm in wave.pendingInOrder(state)) {
            if (domain != null && vm.dataCentre != domain) continue
            val purpose = DrainPurpose.Maintenance(id)
            val refusal = state.refusalOfDrain(vm.id, purpose, at)
                ?: return WaveStep.Drain(FleetCommand.StartDrain(vm.id, purpose))
            if (refusal.blocksWholeWave) return WaveStep.Wait(refusal)
            if (refusal !is FleetRefusal.WrongPhase || reason == null) reason = refusal
        }
        return reason?.let { WaveStep.Wait(it) }
    }
}

private sealed interface WaveStep {
    class Drain(val command: FleetCommand.StartDrain) : WaveStep

    class Wait(val reason: FleetRefusal) : WaveStep
}

/** Returns the VMs that the wave still has to maintain, ordered by data centre, rack and id. */
internal fun Wave.pendingInOrder(state: FleetState): List<Vm> =
    pending.map(state.vms::getValue).sortedWith(compareBy({ it.domain }, { it.id }))

/** Whether the reason also applies to every other VM of the wave. */
private val FleetRefusal.blocksWholeWave: Boolean
    get() = this is FleetRefusal.CorrelatedLoss || this is FleetRefusal.PaceReached ||
        this is FleetRefusal.WaveNotRunning
