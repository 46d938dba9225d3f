package org.auburnstream.scheduling

import java.util.PriorityQueue

/**
 * Chooses runs to stop for lasting tasks.
 *
 * @property isStopping whether a run in progress was ordered to stop.
 */
internal class EvictionChoice(
    private val state: SchedulerState,
    private val isStopping: (RunId, WorkerIncarnation) -> Boolean,
) {
    /**
     * Chooses runs to stop so that lasting tasks, which must keep running, fit.
     *
     * Returns a vacancy for each task that will fit. For a gang the result has all tasks or none, because stopping runs
     * for a part of it gains nothing.
     */
    fun choose(step: WaitingStep, missing: Int, candidates: List<WorkerCapacity>): List<Vacancy> {
        val vacancies = ArrayList<Vacancy>()
        val isGang = step.description.gang
        val offers = PriorityQueue(compareBy<EvictionOffer>({ it.victims.size }, { it.order }))
        candidates.filter { it.fitsWhenIdle(step.description) }
            .mapIndexedTo(ArrayList()) { order, candidate -> EvictionOffer(step, candidate, order) }
            .filterTo(offers) { it.fits }
        while (vacancies.size < missing) {
            val offer = offers.poll() ?: break
            val evictions = offer.victims.map { Eviction(it, offer.candidate.worker.incarnation, step.id) }
            vacancies.add(Vacancy(offer.candidate, evictions))
            if (!isGang) continue
            offer.takeTask()
            if (offer.fits) offers.add(offer)
        }
        return if (isGang && vacancies.size < missing) emptyList() else vacancies
    }

    /**
     * Tasks of [step] that [candidate] can take when runs there are stopped.
     *
     * @property order position among the offers with as many victims.
     */
    private inner class EvictionOffer(private val step: WaitingStep, val candidate: WorkerCapacity, val order: Int) {
        private val description = step.description
        private val maxTasks = if (description.maxPerWorker == 0) Int.MAX_VALUE else description.maxPerWorker
        private var tasks = candidate.taskCount(step.id)
        private var free = candidate.free
        private val stoppable: ArrayDeque<Map.Entry<RunId, StepDescription>>

        /** Runs to stop so that one more task fits, if [fits]. */
        val victims = ArrayList<RunId>()

        /** Whether one more task fits once the [victims] have stopped. */
        var fits = false
            private set

        init {
            val incarnation = candidate.worker.incarnation
            val (stopping, others) = state.claimsAt(incarnation).entries.partition { isStopping(it.key, incarnation) }
            stopping.forEach { free += it.value.reserved }
            stoppable = others.filter { (_, other) -> !other.lasting && !other.gang }
                .sortedBy { (run, other) -> if (other.savesProgress) 0 else run.task.step.step + 1 }
                .let(::ArrayDeque)
            findVictims()
        }

        /** Reserves the capacity of one more task, and finds the runs to stop for the next one. */
        fun takeTask() {
            free -= description.reserved
            tasks += 1
            findVictims()
        }

        private fun findVictims() {
            victims.clear()
            while (tasks < maxTasks && !description.reserved.fitsIn(free)) {
                val (run, other) = stoppable.removeFirstOrNull() ?: break
                free += other.reserved
                victims.add(run)
            }
            fits = tasks < maxTasks && description.reserved.fitsIn(free)
        }
    }
}

/**
 * Room for one task at [worker] once the runs of [evictions] have stopped.
 *
 * @property evictions runs to stop; empty if all of them are being stopped already.
 */
internal class Vacancy(val worker: WorkerCapacity, val evictions: List<Eviction>)

/** Run to stop so that a task of [beneficiary] fits. */
internal data class Eviction(val run: RunId, val incarnation: WorkerIncarnation, val beneficiary: StepId)
