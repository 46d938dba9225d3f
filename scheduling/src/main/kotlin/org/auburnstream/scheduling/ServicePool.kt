package org.auburnstream.scheduling

import org.auburnstream.model.ServiceId

/** VMs of one service at one moment, and what they have to do. */
internal class ServicePool(val service: ServiceId, val workers: List<Worker>, private val state: SchedulerState) {
    /** Processor time that runs take, in millicores. */
    val load: Long = workers.sumOf(state::loadOf)

    /** Processor time of the VMs that stay, in millicores. */
    val capacity: Long = workers.filter { it.profile.vm !in state.moves && !it.isLeaving }
        .sumOf { it.profile.capacity.millicores }
    private val typicalCapacity = workers.maxOf { it.profile.capacity.millicores }

    /** Number of VMs, less those that were given away while decisions are made. */
    var size: Int = workers.size

    /**
     * Least number of VMs on which no VM runs more lasting tasks of a step than the step may miss.
     *
     * It matters during a maintenance wave only, which cannot take down a VM with more.
     */
    val minSize: Int = if (state.waves.values.all { it.isComplete }) 0 else minVmsForSpread()

    /** VMs that the service can do without. */
    val surplus: Int
        get() = size - maxOf(vmsFor((load * (1 + HEADROOM)).toLong()), minSize, MIN_POOL_SIZE)

    /** Number of VMs that have room for [millicores], 0 if it is negative. */
    fun vmsFor(millicores: Long): Int =
        if (typicalCapacity == 0L || millicores <= 0) 0 else ((millicores - 1) / typicalCapacity).toInt() + 1

    private fun minVmsForSpread(): Int = workers.flatMap { state.claimsAt(it.profile.life).entries }
        .filter { (_, step) -> step.lasting && step.mayMiss > 0 }
        .distinctBy { it.key.task.step }
        .maxOfOrNull { (_, step) -> (step.count + step.mayMiss - 1) / step.mayMiss } ?: 0

    companion object {
        /** Share of the load in progress by which the load is likely to grow during a move. */
        const val HEADROOM = 0.2

        /** A pool keeps this many VMs for what comes next. */
        private const val MIN_POOL_SIZE = 2
    }
}

/** Processor time that runs take at [worker], in millicores. */
internal fun SchedulerState.loadOf(worker: Worker): Long =
    claimsAt(worker.profile.life).values.sumOf { it.reserved.millicores }
