package org.auburnstream.scheduling

import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId

/**
 * Decides which waiting tasks start where, from the state alone.
 *
 * Answers the load pattern of queues that ask in turn for several times what their pool holds: lasting tasks come
 * first, then lower [Queue.priority], then the jobs that can still keep their objective by the least work left, so
 * that as many as possible keep it; jobs that are late come last, oldest first. A gang or a large task that does not
 * capacityScore is passed over by smaller ones only for [MAX_BYPASS_MS], after which it comes before them and its service is
 * reservedServices for it.
 *
 * @property isUsable whether a worker may be given tasks.
 * @property mayRun whether a worker may run a step, as far as advice tells.
 * @property isStopping whether a run that is in progress will end soon, since it was ordered to.
 */
internal class Planner(
    private val state: SchedulerState,
    private val isUsable: (Worker) -> Boolean,
    private val mayRun: (WaitingStep, WorkerProfile) -> Boolean,
    private val isStopping: (RunId, WorkerLife) -> Boolean,
) {
    /** Returns the runs to claim at [nowMs] and the runs to stop for them. */
    fun plan(nowMs: Long, waiting: List<WaitingStep>, limit: Int): Plan {
        if (waiting.isEmpty()) return Plan(emptyList(), emptyList(), emptyMap())
        val unplaced = HashMap<ServiceId, UnplacedDemand>()
        val capacities = CapacityTracker(state, isUsable)
        val claims = ArrayList<Record.RunClaimed>()
        val evictions = ArrayList<Eviction>()
        val reservedServices = HashSet<ServiceId>()
        val starved = waiting.filter { isStarved(it, capacities, nowMs) }.toSet()
        for (step in waiting.sortedWith(orderAt(nowMs, starved))) {
            if (claims.size >= limit) break
            val isUrgent = step.description.lasting
            if (step.queue.service in reservedServices && !isUrgent) {
                unplaced.merge(step.queue.service, unplacedOf(step, step.tasks.size), UnplacedDemand::plus)
                continue
            }
            val placed = if (step.description.gang) {
                placeGang(step, capacities)
            } else {
                placeTasks(
                    step,
                    capacities,
                    limit - claims.size,
                )
            }
            claims.addAll(placed)
            val missing = step.tasks.size - placed.size
            if (missing == 0) continue
            unplaced.merge(step.queue.service, unplacedOf(step, missing), UnplacedDemand::plus)
            if (isUrgent) evictions.addAll(evict(step, missing, capacities))
            val isWhole = step.description.gang || placed.isEmpty()
            if (isWhole && isReservedFor(step, capacities, nowMs)) reservedServices.add(step.queue.service)
        }
        return Plan(claims, evictions, unplaced)
    }

    private fun unplacedOf(step: WaitingStep, missing: Int): UnplacedDemand {
        val perWorker = step.description.maxPerWorker
        val workers = if (perWorker == 0) 0 else (missing + perWorker - 1) / perWorker
        return UnplacedDemand(missing * step.description.reserved.millicores, workers)
    }

    private fun orderAt(nowMs: Long, starved: Set<WaitingStep>): Comparator<WaitingStep> =
        compareBy<WaitingStep> { !it.description.lasting }
            .thenBy { it.queue.priority }
            .thenBy { it !in starved }
            .thenBy { isLate(it, nowMs) }
            .thenBy { if (isLate(it, nowMs)) it.dueMs else it.workMs }
            .thenBy { it.job.acceptedMs }

    private fun isLate(step: WaitingStep, nowMs: Long): Boolean = nowMs + step.remainingMs > step.dueMs

    /** Whether smaller steps have passed the step for long enough. */
    private fun isReservedFor(step: WaitingStep, capacities: CapacityTracker, nowMs: Long): Boolean {
        val hasWaited = nowMs - step.job.acceptedMs > MAX_BYPASS_MS
        return hasWaited && step.dueMs > nowMs && isFeasible(step, capacities)
    }

    /** Whether the step finds no room unless the steps that are smaller wait: a gang, or tasks of half a worker. */
    private fun isStarved(step: WaitingStep, capacities: CapacityTracker, nowMs: Long): Boolean {
        val largest = capacities.of(step.queue.service).maxOfOrNull { it.worker.capacity.millicores } ?: 0
        val isLarge = step.description.gang || step.description.reserved.millicores * 2 > largest
        return isLarge && isReservedFor(step, capacities, nowMs)
    }

    private fun isFeasible(step: WaitingStep, capacities: CapacityTracker): Boolean =
        capacities.of(step.queue.service).any { it.fitsWhenIdle(step.description) }

    private fun placeTasks(step: WaitingStep, capacities: CapacityTracker, limit: Int): List<Record.RunClaimed> {
        val claims = ArrayList<Record.RunClaimed>()
        val candidates = candidates(step, capacities)
        val rack = if (step.description.prefersOneRack) commonRack(step, candidates) else null
        for (index in step.tasks) {
            if (claims.size >= limit) break
            val candidate = choose(step, candidates, rack) ?: break
            candidate.reserve(step.id, step.description)
            val last = step.progress.tasks.getOrNull(index)?.lastRun ?: 0
            claims.add(Record.RunClaimed(RunId(TaskId(step.id, index), last + 1), candidate.worker.life))
        }
        return claims
    }

    private fun placeGang(step: WaitingStep, capacities: CapacityTracker): List<Record.RunClaimed> {
        val candidates = candidates(step, capacities)
        val racks = if (step.description.prefersOneRack) candidates.mapNotNull { it.rack }.distinct() else emptyList()
        for (rack in racks) {
            val within = candidates.filter { it.rack == rack }
            placeAll(step, within)?.let { return it }
        }
        return placeAll(step, candidates).orEmpty()
    }

    /** Places every task of the step, or none. */
    private fun placeAll(step: WaitingStep, candidates: List<WorkerCapacity>): List<Record.RunClaimed>? {
        val number = 1 + (step.progress.tasks.maxOfOrNull { it.lastRun } ?: 0)
        val taken = ArrayList<WorkerCapacity>()
        for (index in step.tasks) {
            val candidate = choose(step, candidates, rack = null)
            if (candidate == null) {
                taken.forEach { it.release(step.id, step.description) }
                return null
            }
            candidate.reserve(step.id, step.description)
            taken.add(candidate)
        }
        return taken.mapIndexed { index, candidate ->
            Record.RunClaimed(RunId(TaskId(step.id, index), number), candidate.worker.life)
        }
    }

    private fun candidates(step: WaitingStep, capacities: CapacityTracker): List<WorkerCapacity> =
        capacities.of(step.queue.service).filter { mayRun(step, it.worker) }

    private fun commonRack(step: WaitingStep, candidates: List<WorkerCapacity>): RackId? {
        val used = candidates.firstOrNull { it.taskCount(step.id) > 0 }?.rack
        if (used != null) return used
        return candidates.groupBy { it.rack }.maxByOrNull { (_, capacities) -> capacities.sumOf { it.free.millicores } }?.key
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
     * Rates a worker with room; the highest is taken.
     *
     * Batch tasks go where the least room is left, so that borrowed workers run empty and can go back. Lasting tasks
     * spread, because planned work ends all tasks of a worker at once and a step may miss few.
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

    /** Chooses runs to stop so that lasting tasks, which must not stay away, find candidate. */
    private fun evict(step: WaitingStep, missing: Int, capacities: CapacityTracker): List<Eviction> {
        val evictions = ArrayList<Eviction>()
        val candidates = candidates(step, capacities).filter { it.fitsWhenIdle(step.description) }.toMutableList()
        repeat(minOf(missing, candidates.size)) {
            val choice = candidates.mapNotNull { candidate -> victims(step, candidate)?.let { candidate to it } }
                .minByOrNull { (_, victims) -> victims.size } ?: return evictions
            val (candidate, victims) = choice
            candidates.remove(candidate)
            victims.forEach { evictions.add(Eviction(it, candidate.worker.life, step.id)) }
        }
        return evictions
    }

    private fun victims(step: WaitingStep, candidate: WorkerCapacity): List<RunId>? {
        if (candidate.taskCount(step.id) >= maxOf(1, step.description.maxPerWorker)) return null
        val life = candidate.worker.life
        var free = candidate.free
        val victims = ArrayList<RunId>()
        val (stopping, others) = state.claimsAt(life).entries.partition { isStopping(it.key, life) }
        stopping.forEach { free += it.value.reserved }
        val stoppable = others.filter { (_, other) -> !other.lasting && !other.gang }
            .sortedBy { (run, other) -> if (other.savesProgress) 0 else run.task.step.step + 1 }
        for ((run, other) in stoppable) {
            if (step.description.reserved.fitsIn(free)) break
            free += other.reserved
            victims.add(run)
        }
        return victims.takeIf { step.description.reserved.fitsIn(free) }
    }

    private companion object {
        /** Time for which smaller steps may pass one that does not capacityScore; a few times the usual task. */
        const val MAX_BYPASS_MS = 3_000L

        /** Outweighs any difference in free processor time, in millicores. */
        const val SAME_RACK_BONUS = 1_000_000_000_000L

        /** Outweighs any number of other tasks of the step. */
        const val OWN_VM_BONUS = 100_000_000_000L
        const val SPREAD_PENALTY = 1_000_000_000L
    }
}

/** What a [Planner] decided. */
internal class Plan(
    val claims: List<Record.RunClaimed>,
    val evictions: List<Eviction>,
    val unplaced: Map<ServiceId, UnplacedDemand>,
)

/** A run to stop so that [beneficiary] finds candidate. */
internal data class Eviction(val run: RunId, val life: WorkerLife, val beneficiary: StepId)
