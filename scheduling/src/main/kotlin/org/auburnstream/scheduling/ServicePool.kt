package org.auburnstream.scheduling

import org.auburnstream.model.ServiceId

/**
 * Snapshot of the VMs of one service with their load and capacity, used to decide on moves between pools.
 *
 * @param isAbsent whether a worker shuts down or may be lost.
 */
internal class ServicePool(
    val service: ServiceId,
    val workers: List<Worker>,
    private val state: SchedulerState,
    isAbsent: (Worker) -> Boolean,
) {
    /** Processor time that runs reserve, in millicores. */
    val load: Long = workers.sumOf(state::loadOf)

    private val staying = workers.filter { it.profile.vm !in state.moves }

    /** Processor time of the VMs that stay in the pool, in millicores. */
    val capacity: Long = staying.filterNot { it.isLeaving }.sumOf { it.profile.capacity.millicores }
    private val typicalCapacity = workers.maxOf { it.profile.capacity.millicores }

    private val absent = staying.count(isAbsent)

    /** Number of VMs, without those that move away or that the current pass has already decided to move away. */
    var size: Int = staying.size

    /**
     * Smallest number of VMs over which lasting tasks can be spread within [StepDescription.mayMiss] tasks per VM.
     *
     * It applies only during a maintenance wave, which cannot take down a VM that runs more tasks of a step; otherwise
     * it is 0.
     */
    val minSize: Int = if (state.waves.values.all { it.isComplete }) 0 else minVmsForSpread()

    /** Smallest number of VMs on which the lasting tasks of each step fit. */
    private val minForLasting = stepsOf { it.lasting }.maxOfOrNull(::minVmsFor) ?: 0

    /** Number of VMs that the service does not need; negative if it needs more than it has. */
    val surplus: Int
        get() = size - absent - maxOf(vmsFor((load * (1 + HEADROOM)).toLong()), minSize, minForLasting, MIN_POOL_SIZE)

    /** Returns the number of VMs that provide [millicores], or 0 if it is negative. */
    fun vmsFor(millicores: Long): Int =
        if (typicalCapacity == 0L || millicores <= 0) 0 else ((millicores - 1) / typicalCapacity).toInt() + 1

    private fun minVmsFor(step: StepDescription): Int {
        val limit = if (step.maxPerWorker == 0) step.count else minOf(step.maxPerWorker, step.count)
        val perVm = workers.maxOf { step.reserved.timesIn(it.profile.capacity, limit) }
        return if (perVm == 0) 0 else (step.count + perVm - 1) / perVm
    }

    private fun minVmsForSpread(): Int = stepsOf { it.lasting && it.mayMiss > 0 }
        .maxOfOrNull { (it.count + it.mayMiss - 1) / it.mayMiss } ?: 0

    /** Returns the steps with runs in this pool that match [predicate]. */
    private fun stepsOf(predicate: (StepDescription) -> Boolean): List<StepDescription> =
        workers.flatMap { state.claimsAt(it.profile.incarnation).entries }
            .filter { (_, step) -> predicate(step) }
            .distinctBy { it.key.task.step }
            .map { it.value }

    companion object {
        /** Fraction by which the load is likely to grow during a move. */
        const val HEADROOM = 0.2

        /** Number of VMs that a pool keeps for future jobs even if it is idle. */
        private const val MIN_POOL_SIZE = 2
    }
}

/** Returns the processor time that runs reserve on [worker], in millicores. */
internal fun SchedulerState.loadOf(worker: Worker): Long =
    claimsAt(worker.profile.incarnation).values.sumOf { it.reserved.millicores }
