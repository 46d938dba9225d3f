package org.auburnstream.scheduling

import org.auburnstream.model.RackId

/**
 * Chooses workers for the tasks of one step at a time, and reserves their capacity.
 *
 * @property mayRun whether the advice service permits a worker to run a step.
 */
internal class TaskPlacement(
    private val state: SchedulerState,
    private val mayRun: (WaitingStep, WorkerProfile) -> Boolean,
) {
    /** Places the [tasks] of the step on [candidates], at most [limit] of them; of a gang all or none. */
    fun place(
        step: WaitingStep,
        tasks: List<Int>,
        candidates: List<WorkerCapacity>,
        limit: Int,
    ): List<Record.RunClaimed> =
        if (step.description.gang) placeGang(step, candidates) else placeTasks(step, tasks, candidates, limit)

    private fun placeTasks(
        step: WaitingStep,
        tasks: List<Int>,
        candidates: List<WorkerCapacity>,
        limit: Int,
    ): List<Record.RunClaimed> {
        val claims = ArrayList<Record.RunClaimed>()
        val rack = if (step.description.prefersOneRack) commonRack(step, candidates) else null
        for (index in tasks) {
            if (claims.size >= limit) break
            val candidate = choose(step, candidates, rack) ?: break
            candidate.reserve(step.id, step.description)
            val last = step.progress.tasks.getOrNull(index)?.lastRun ?: 0
            claims.add(Record.RunClaimed(RunId(TaskId(step.id, index), last + 1), candidate.worker.incarnation))
        }
        return claims
    }

    /**
     * Places [suspects], which may crash their workers, apart from each other and from what else starts in the plan.
     *
     * They go to workers without lasting tasks and gangs, if there are any, and to those that have been up longest,
     * as a VM that has just crashed may do so again. At most half of [workers] are on probation at a time.
     *
     * @param workers all usable workers of the service.
     */
    fun placeSuspects(
        step: WaitingStep,
        suspects: List<Int>,
        workers: List<WorkerCapacity>,
        candidates: List<WorkerCapacity>,
        limit: Int,
    ): List<Record.RunClaimed> {
        val claims = ArrayList<Record.RunClaimed>()
        val preferred = step.description.dataRack
        val order = compareBy<WorkerCapacity>(
            { it.hasFragileRuns },
            { preferred != null && it.rack != preferred },
            { it.runs },
            { it.worker.incarnation.startedMs },
        )
        val allowed = maxOf(1, workers.size / 2) - workers.count { it.isOnProbation }
        for (index in suspects.take(minOf(limit, allowed).coerceAtLeast(0))) {
            val open = candidates.filter { !it.isOnProbation && !it.hasPlannedRuns }
            val target = open.filter { it.fits(step.id, step.description) }.minWithOrNull(order) ?: break
            target.reserve(step.id, step.description)
            target.isOnProbation = true
            val last = step.progress.tasks[index].lastRun
            claims.add(Record.RunClaimed(RunId(TaskId(step.id, index), last + 1), target.worker.incarnation))
        }
        return claims
    }

    /** Places a gang with a suspect, one member a worker if possible; all of these workers count as on probation. */
    fun placeSuspectGang(step: WaitingStep, candidates: List<WorkerCapacity>): List<Record.RunClaimed> {
        val open = candidates.filterNot { it.hasPlannedRuns }
        val claims = placeAll(step, open.filterNot { it.hasFragileRuns }, isSpread = true)
            ?: placeAll(step, open, isSpread = true)
            ?: placeGang(step, open)
        val used = claims.mapTo(HashSet()) { it.incarnation }
        open.filter { it.worker.incarnation in used }.forEach { it.isOnProbation = true }
        return claims
    }

    private fun placeGang(step: WaitingStep, candidates: List<WorkerCapacity>): List<Record.RunClaimed> {
        val racks = if (step.description.prefersOneRack) candidates.mapNotNull { it.rack }.distinct() else emptyList()
        for (rack in racks) {
            val within = candidates.filter { it.rack == rack }
            placeAll(step, within)?.let { return it }
        }
        return placeAll(step, candidates).orEmpty()
    }

    /** Places every task of the step, or none; if [isSpread], each on a worker of its own. */
    private fun placeAll(
        step: WaitingStep,
        candidates: List<WorkerCapacity>,
        isSpread: Boolean = false,
    ): List<Record.RunClaimed>? {
        val number = 1 + (step.progress.tasks.maxOfOrNull { it.lastRun } ?: 0)
        val taken = ArrayList<WorkerCapacity>()
        for (index in step.tasks) {
            val open = if (isSpread) candidates.filter { it !in taken } else candidates
            val candidate = choose(step, open, rack = null)
            if (candidate == null) {
                taken.forEach { it.release(step.id, step.description) }
                return null
            }
            candidate.reserve(step.id, step.description)
            taken.add(candidate)
        }
        return taken.mapIndexed { index, candidate ->
            Record.RunClaimed(RunId(TaskId(step.id, index), number), candidate.worker.incarnation)
        }
    }

    /** Returns the workers that may run the step and that are not on probation. */
    fun candidates(step: WaitingStep, capacities: CapacityTracker): List<WorkerCapacity> =
        permitted(step, capacities).filterNot { it.isOnProbation }

    /** Returns the workers that may run the step. */
    fun permitted(step: WaitingStep, capacities: CapacityTracker): List<WorkerCapacity> =
        capacities.of(step.queue.service).filter { mayRun(step, it.worker) }

    private fun commonRack(step: WaitingStep, candidates: List<WorkerCapacity>): RackId? {
        val used = candidates.firstOrNull { it.taskCount(step.id) > 0 }?.rack
        if (used != null) return used
        return candidates.groupBy { it.rack }
            .maxByOrNull { (_, workers) -> workers.sumOf { it.free.millicores } }?.key
    }

    private fun choose(step: WaitingStep, candidates: List<WorkerCapacity>, rack: RackId?): WorkerCapacity? {
        val description = step.description
        val preferred = description.dataRack ?: rack
        var best: WorkerCapacity? = null
        var bestScore = Long.MIN_VALUE
        for (candidate in candidates) {
            if (!candidate.fits(step.id, description)) continue
            val score = score(candidate, step, preferred)
            if (score > bestScore) {
                best = candidate
                bestScore = score
            }
        }
        return best
    }

    /**
     * Returns the score of a worker that has the capacity; the task goes to the highest score.
     *
     * Batch tasks prefer the worker with the least free capacity, so that borrowed workers become idle and can be
     * returned. Lasting tasks are spread, because maintenance ends all tasks of a worker at once and a step may miss
     * only a few.
     */
    private fun score(candidate: WorkerCapacity, step: WaitingStep, preferred: RackId?): Long {
        val description = step.description
        val rackBonus = if (preferred != null && candidate.rack == preferred) SAME_RACK_BONUS else 0
        val ownershipBonus = if (candidate.worker.vm in state.homes) 0 else OWN_VM_BONUS
        val capacityScore = when {
            description.fillsUnused -> candidate.millicoresForFillers
            description.lasting -> candidate.free.millicores - candidate.taskCount(step.id) * SPREAD_PENALTY
            else -> -candidate.free.millicores
        }
        return rackBonus + ownershipBonus + capacityScore
    }

    private companion object {
        /** Outweighs any difference in free processor time, in millicores. */
        const val SAME_RACK_BONUS = 1_000_000_000_000L

        /** Outweighs any number of other tasks of the step. */
        const val OWN_VM_BONUS = 100_000_000_000L
        const val SPREAD_PENALTY = 1_000_000_000L
    }
}
