package org.auburnstream.scheduling

import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId

/**
 * Decides which waiting tasks start where, from the state alone.
 *
 * Answers the load pattern of queues that ask in turn for several times what their pool holds: lasting tasks come
 * first, then lower [Queue.priority], then the jobs that can still keep their objective by the least work left, so
 * that as many as possible keep it; jobs that are late come last, oldest first. A gang or a large task that does not
 * fit is passed over by smaller ones only for [HEAD_OF_LINE_MS], after which it comes before them and its service is
 * kept for it.
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
        val unplaced = HashMap<ServiceId, Unplaced>()
        val rooms = RoomLedger(state, isUsable)
        val claims = ArrayList<Record.RunClaimed>()
        val evictions = ArrayList<Eviction>()
        val kept = HashSet<ServiceId>()
        val passedOver = waiting.filter { isPassedOver(it, rooms, nowMs) }.toSet()
        for (step in waiting.sortedWith(orderAt(nowMs, passedOver))) {
            if (claims.size >= limit) break
            val isUrgent = step.description.lasting
            if (step.queue.service in kept && !isUrgent) {
                unplaced.merge(step.queue.service, unplacedOf(step, step.tasks.size), Unplaced::plus)
                continue
            }
            val placed = if (step.description.gang) {
                placeGang(step, rooms)
            } else {
                placeTasks(
                    step,
                    rooms,
                    limit - claims.size,
                )
            }
            claims.addAll(placed)
            val missing = step.tasks.size - placed.size
            if (missing == 0) continue
            unplaced.merge(step.queue.service, unplacedOf(step, missing), Unplaced::plus)
            if (isUrgent) evictions.addAll(evict(step, missing, rooms))
            val isWhole = step.description.gang || placed.isEmpty()
            if (isWhole && isKeptFor(step, rooms, nowMs)) kept.add(step.queue.service)
        }
        return Plan(claims, evictions, unplaced)
    }

    private fun unplacedOf(step: WaitingStep, missing: Int): Unplaced {
        val perWorker = step.description.maxPerWorker
        val workers = if (perWorker == 0) 0 else (missing + perWorker - 1) / perWorker
        return Unplaced(missing * step.description.reserved.millicores, workers)
    }

    private fun orderAt(nowMs: Long, passedOver: Set<WaitingStep>): Comparator<WaitingStep> =
        compareBy<WaitingStep> { !it.description.lasting }
            .thenBy { it.queue.priority }
            .thenBy { it !in passedOver }
            .thenBy { isLate(it, nowMs) }
            .thenBy { if (isLate(it, nowMs)) it.dueMs else it.workMs }
            .thenBy { it.job.acceptedMs }

    private fun isLate(step: WaitingStep, nowMs: Long): Boolean = nowMs + step.remainingMs > step.dueMs

    /** Whether smaller steps have passed the step for long enough. */
    private fun isKeptFor(step: WaitingStep, rooms: RoomLedger, nowMs: Long): Boolean {
        val hasWaited = nowMs - step.job.acceptedMs > HEAD_OF_LINE_MS
        return hasWaited && step.dueMs > nowMs && isFeasible(step, rooms)
    }

    /** Whether the step finds no room unless the steps that are smaller wait: a gang, or tasks of half a worker. */
    private fun isPassedOver(step: WaitingStep, rooms: RoomLedger, nowMs: Long): Boolean {
        val largest = rooms.of(step.queue.service).maxOfOrNull { it.worker.capacity.millicores } ?: 0
        val isLarge = step.description.gang || step.description.reserved.millicores * 2 > largest
        return isLarge && isKeptFor(step, rooms, nowMs)
    }

    private fun isFeasible(step: WaitingStep, rooms: RoomLedger): Boolean =
        rooms.of(step.queue.service).any { it.couldFit(step.description) }

    private fun placeTasks(step: WaitingStep, rooms: RoomLedger, limit: Int): List<Record.RunClaimed> {
        val claims = ArrayList<Record.RunClaimed>()
        val candidates = candidates(step, rooms)
        val rack = if (step.description.prefersOneRack) commonRack(step, candidates) else null
        for (index in step.tasks) {
            if (claims.size >= limit) break
            val room = choose(step, candidates, rack) ?: break
            room.take(step.id, step.description)
            val last = step.progress.tasks.getOrNull(index)?.lastRun ?: 0
            claims.add(Record.RunClaimed(RunId(TaskId(step.id, index), last + 1), room.worker.life))
        }
        return claims
    }

    private fun placeGang(step: WaitingStep, rooms: RoomLedger): List<Record.RunClaimed> {
        val candidates = candidates(step, rooms)
        val racks = if (step.description.prefersOneRack) candidates.mapNotNull { it.rack }.distinct() else emptyList()
        for (rack in racks) {
            val within = candidates.filter { it.rack == rack }
            placeAll(step, within)?.let { return it }
        }
        return placeAll(step, candidates).orEmpty()
    }

    /** Places every task of the step, or none. */
    private fun placeAll(step: WaitingStep, candidates: List<Room>): List<Record.RunClaimed>? {
        val number = 1 + (step.progress.tasks.maxOfOrNull { it.lastRun } ?: 0)
        val taken = ArrayList<Room>()
        for (index in step.tasks) {
            val room = choose(step, candidates, rack = null)
            if (room == null) {
                taken.forEach { it.give(step.id, step.description) }
                return null
            }
            room.take(step.id, step.description)
            taken.add(room)
        }
        return taken.mapIndexed { index, room ->
            Record.RunClaimed(RunId(TaskId(step.id, index), number), room.worker.life)
        }
    }

    private fun candidates(step: WaitingStep, rooms: RoomLedger): List<Room> =
        rooms.of(step.queue.service).filter { mayRun(step, it.worker) }

    private fun commonRack(step: WaitingStep, candidates: List<Room>): RackId? {
        val used = candidates.firstOrNull { it.count(step.id) > 0 }?.rack
        if (used != null) return used
        return candidates.groupBy { it.rack }.maxByOrNull { (_, rooms) -> rooms.sumOf { it.free.millicores } }?.key
    }

    private fun choose(step: WaitingStep, candidates: List<Room>, rack: RackId?): Room? {
        val description = step.description
        val preferred = description.dataRack ?: rack
        var best: Room? = null
        var bestScore = Long.MIN_VALUE
        for (room in candidates) {
            if (!room.fits(step.id, description)) continue
            val score = score(room, step, preferred)
            if (score > bestScore) {
                best = room
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
    private fun score(room: Room, step: WaitingStep, preferred: RackId?): Long {
        val description = step.description
        val near = if (preferred != null && room.rack == preferred) NEAR_BONUS else 0
        val own = if (room.worker.vm in state.homes) 0 else HOME_BONUS
        val fit = when {
            description.fillsUnused -> room.unused
            description.lasting -> room.free.millicores - room.count(step.id) * SPREAD_PENALTY
            else -> -room.free.millicores
        }
        return near + own + fit
    }

    /** Chooses runs to stop so that lasting tasks, which must not stay away, find room. */
    private fun evict(step: WaitingStep, missing: Int, rooms: RoomLedger): List<Eviction> {
        val evictions = ArrayList<Eviction>()
        val candidates = candidates(step, rooms).filter { it.couldFit(step.description) }.toMutableList()
        repeat(minOf(missing, candidates.size)) {
            val choice = candidates.mapNotNull { room -> victims(step, room)?.let { room to it } }
                .minByOrNull { (_, victims) -> victims.size } ?: return evictions
            val (room, victims) = choice
            candidates.remove(room)
            victims.forEach { evictions.add(Eviction(it, room.worker.life, step.id)) }
        }
        return evictions
    }

    private fun victims(step: WaitingStep, room: Room): List<RunId>? {
        if (room.count(step.id) >= maxOf(1, step.description.maxPerWorker)) return null
        val life = room.worker.life
        var free = room.free
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
        /** Time for which smaller steps may pass one that does not fit; a few times the usual task. */
        const val HEAD_OF_LINE_MS = 3_000L

        /** Outweighs any difference in free processor time, in millicores. */
        const val NEAR_BONUS = 1_000_000_000_000L

        /** Outweighs any number of other tasks of the step. */
        const val HOME_BONUS = 100_000_000_000L
        const val SPREAD_PENALTY = 1_000_000_000L
    }
}

/** What a [Planner] decided. */
internal class Plan(
    val claims: List<Record.RunClaimed>,
    val evictions: List<Eviction>,
    val unplaced: Map<ServiceId, Unplaced>,
)

/** A run to stop so that [beneficiary] finds room. */
internal data class Eviction(val run: RunId, val life: WorkerLife, val beneficiary: StepId)
