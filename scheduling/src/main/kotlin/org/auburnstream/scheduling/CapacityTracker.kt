package org.auburnstream.scheduling

import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId

/**
 * Free capacity of the usable workers, updated while a plan is made.
 *
 * The capacity of a run stays reserved until its end is recorded, also while the run is being stopped.
 *
 * @param onProbation workers on which a suspect has just started, see [Probation].
 */
internal class CapacityTracker(
    state: SchedulerState,
    onProbation: Set<WorkerIncarnation> = emptySet(),
    isUsable: (Worker) -> Boolean,
) {
    private val byService = HashMap<ServiceId, ArrayList<WorkerCapacity>>()
    private val byIncarnation = HashMap<WorkerIncarnation, WorkerCapacity>()

    init {
        for (worker in state.workers.values) {
            if (!isUsable(worker)) continue
            val claims = state.claimsAt(worker.profile.incarnation)
            val capacity = WorkerCapacity(worker.profile, claims.size)
            claims.forEach { (run, step) -> capacity.reserve(run.task.step, step) }
            capacity.isOnProbation = worker.profile.incarnation in onProbation
            byService.getOrPut(worker.profile.service) { ArrayList() }.add(capacity)
            byIncarnation[worker.profile.incarnation] = capacity
        }
    }

    fun of(service: ServiceId): List<WorkerCapacity> = byService[service].orEmpty()

    fun at(incarnation: WorkerIncarnation): WorkerCapacity? = byIncarnation[incarnation]
}

/**
 * Free capacity of one worker.
 *
 * @param claimedRuns number of runs that the state shows there.
 */
internal class WorkerCapacity(val worker: WorkerProfile, private val claimedRuns: Int = 0) {
    var free: Resources = worker.capacity
        private set

    /** Demand of the tasks that use only leftover processor time, see [StepDescription.fillsUnused]. */
    var fillerMillicores = 0L
        private set
    private val perStep = HashMap<StepId, Int>()

    /** Whether a suspect has just started or is about to start there, so that no other task may. */
    var isOnProbation = false

    /** Number of runs that are claimed or planned there. */
    var runs = 0
        private set

    /** Whether the current plan starts a run there. */
    val hasPlannedRuns: Boolean
        get() = runs > claimedRuns

    /** Whether runs are there that must not be lost: lasting tasks and members of gangs. */
    val hasFragileRuns: Boolean
        get() = fragileRuns > 0
    private var fragileRuns = 0

    /** Capacity of the lasting runs. */
    private var held = Resources.None

    /** Capacity of the other members of gangs, which end by themselves and are never stopped for other tasks. */
    private var heldByGangs = Resources.None

    val rack: RackId?
        get() = worker.rack

    fun fits(step: StepId, description: StepDescription): Boolean {
        if (!description.reserved.fitsIn(free)) return false
        val label = description.requiredLabel
        if (label != null && label !in worker.labels) return false
        return description.maxPerWorker == 0 || (perStep[step] ?: 0) < description.maxPerWorker
    }

    /** Whether a task of the step would fit if the worker were idle. */
    fun fitsWhenIdle(description: StepDescription): Boolean {
        val label = description.requiredLabel
        return description.reserved.fitsIn(worker.capacity) && (label == null || label in worker.labels)
    }

    /**
     * Returns the number of tasks of the step, up to [limit], that fit once all runs that end by themselves have ended.
     *
     * Lasting runs never end by themselves, and the step's own runs count towards its limit per worker.
     */
    fun slotsWhenDrained(step: StepId, description: StepDescription, limit: Int): Int =
        slotsIn(worker.capacity - held, step, description, limit)

    /** Returns the number of lasting tasks of the step, up to [limit], that fit if other runs are stopped for them. */
    fun slotsForLasting(step: StepId, description: StepDescription, limit: Int): Int =
        slotsIn(worker.capacity - held - heldByGangs, step, description, limit)

    private fun slotsIn(capacity: Resources, step: StepId, description: StepDescription, limit: Int): Int {
        val label = description.requiredLabel
        if (label != null && label !in worker.labels) return 0
        val own = if (description.maxPerWorker == 0) limit else description.maxPerWorker - taskCount(step)
        return minOf(own, description.reserved.timesIn(capacity, limit)).coerceIn(0, limit)
    }

    fun reserve(step: StepId, description: StepDescription) {
        free -= description.reserved
        hold(description, description.reserved)
        if (description.fillsUnused) fillerMillicores += description.demand.millicores
        perStep[step] = (perStep[step] ?: 0) + 1
        runs += 1
        if (description.lasting || description.gang) fragileRuns += 1
    }

    fun release(step: StepId, description: StepDescription) {
        free += description.reserved
        hold(description, Resources.None - description.reserved)
        if (description.fillsUnused) fillerMillicores -= description.demand.millicores
        perStep[step] = (perStep[step] ?: 0) - 1
        runs -= 1
        if (description.lasting || description.gang) fragileRuns -= 1
    }

    private fun hold(description: StepDescription, amount: Resources) {
        if (description.lasting) {
            held += amount
        } else if (description.gang) {
            heldByGangs += amount
        }
    }

    fun taskCount(step: StepId): Int = perStep[step] ?: 0

    /** Leftover processor time for another task with [StepDescription.fillsUnused]. */
    val millicoresForFillers: Long
        get() = free.millicores - fillerMillicores
}

/** Returns how often this amount fits into [capacity], at most [limit] times. */
internal fun Resources.timesIn(capacity: Resources, limit: Int): Int {
    if (!fitsIn(capacity)) return 0
    fun times(needed: Long, available: Long): Long = if (needed <= 0) limit.toLong() else available / needed
    return minOf(
        times(millicores, capacity.millicores),
        times(memoryMegabytes, capacity.memoryMegabytes),
        times(accelerators.toLong(), capacity.accelerators.toLong()),
    ).coerceAtMost(limit.toLong()).toInt()
}
