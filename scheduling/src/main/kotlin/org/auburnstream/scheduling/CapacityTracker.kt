package org.auburnstream.scheduling

import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId

/**
 * Room of the workers that may be given tasks at one moment, kept while a plan is made.
 *
 * What a run takes stays taken until its end is recorded, also while it is being stopped.
 */
internal class CapacityTracker(state: SchedulerState, isUsable: (Worker) -> Boolean) {
    private val byService = HashMap<ServiceId, ArrayList<WorkerCapacity>>()
    private val byLife = HashMap<WorkerLife, WorkerCapacity>()

    init {
        for (worker in state.workers.values) {
            if (!isUsable(worker)) continue
            val capacity = WorkerCapacity(worker.profile)
            state.claimsAt(worker.profile.life).forEach { (run, step) -> capacity.reserve(run.task.step, step) }
            byService.getOrPut(worker.profile.service) { ArrayList() }.add(capacity)
            byLife[worker.profile.life] = capacity
        }
    }

    fun of(service: ServiceId): List<WorkerCapacity> = byService[service].orEmpty()

    fun at(life: WorkerLife): WorkerCapacity? = byLife[life]
}

/** Room of one worker. */
internal class WorkerCapacity(val worker: WorkerProfile) {
    var free: Resources = worker.capacity
        private set

    /** Processor time that tasks that fill ask for. */
    var fillerMillicores = 0L
        private set
    private val perStep = HashMap<StepId, Int>()

    val rack: RackId?
        get() = worker.rack

    fun fits(step: StepId, description: StepDescription): Boolean {
        if (!description.reserved.fitsIn(free)) return false
        val label = description.requiredLabel
        if (label != null && label !in worker.labels) return false
        return description.maxPerWorker == 0 || (perStep[step] ?: 0) < description.maxPerWorker
    }

    /** Whether the step could run here if nothing else did. */
    fun fitsWhenIdle(description: StepDescription): Boolean {
        val label = description.requiredLabel
        return description.reserved.fitsIn(worker.capacity) && (label == null || label in worker.labels)
    }

    fun reserve(step: StepId, description: StepDescription) {
        free -= description.reserved
        if (description.fillsUnused) fillerMillicores += description.demand.millicores
        perStep[step] = (perStep[step] ?: 0) + 1
    }

    fun release(step: StepId, description: StepDescription) {
        free += description.reserved
        if (description.fillsUnused) fillerMillicores -= description.demand.millicores
        perStep[step] = (perStep[step] ?: 0) - 1
    }

    fun taskCount(step: StepId): Int = perStep[step] ?: 0

    /** Processor time left for another task that fills. */
    val millicoresForFillers: Long
        get() = free.millicores - fillerMillicores
}
