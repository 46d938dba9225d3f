package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId

/**
 * Assigns waiting tasks to workers, from the replicated state alone.
 *
 * Steps are placed in [WaitingOrder]. Workers are reserved for a gang or a large task that smaller tasks have bypassed
 * for too long, see [Reservations]. A lasting task that no usable worker can take starts on a quarantined one as a
 * probe, so that quarantine never keeps it from running.
 *
 * @property isUsable whether a worker accepts new tasks.
 * @property mayProbe whether a quarantined worker accepts lasting tasks that no usable worker can take.
 * @param mayRun whether the advice service permits a worker to run a step.
 * @param isStopping whether a run in progress was ordered to stop.
 * @property caps limits of what each tenant may have running; a task beyond them is no demand for capacity.
 * @property aboveShare tenants that use far more than their weighted share.
 * @property spares capacities of the VMs that are switched off, or null if they are not known yet.
 * @property displaced lasting tasks in progress that will need another worker, see [DisplacedTasks].
 * @property onProbation workers on which a suspect has just started, see [Probation].
 */
internal class Planner(
    private val state: SchedulerState,
    private val isUsable: (Worker) -> Boolean,
    private val mayProbe: (Worker) -> Boolean,
    mayRun: (WaitingStep, WorkerProfile) -> Boolean,
    isStopping: (RunId, WorkerIncarnation) -> Boolean,
    private val spares: List<Resources>? = emptyList(),
    private val caps: TenantCaps = TenantCaps(state),
    private val aboveShare: Set<TenantName> = emptySet(),
    private val displaced: List<WaitingStep> = emptyList(),
    private val onProbation: Set<WorkerIncarnation> = emptySet(),
) {
    private val placement = TaskPlacement(state, mayRun)
    private val eviction = EvictionChoice(state, isStopping)
    private val suspects = state.crashes.suspects.groupBy({ it.step }, { it.index })

    /** Returns at most [limit] runs to claim at [nowMs], and the runs to stop so that lasting tasks fit. */
    fun plan(nowMs: Long, waiting: List<WaitingStep>, limit: Int): Plan {
        if (waiting.isEmpty() && displaced.isEmpty()) return Plan(emptyList(), emptyList(), emptyMap())
        val pass = Pass(nowMs, limit)
        pass.order.sort(waiting).asSequence().takeWhile { !pass.isFull }.forEach(pass::add)
        displaced.forEach(pass::addDisplaced)
        return Plan(pass.claims, pass.evictions, pass.unplaced, pass.capped, pass.places)
    }

    /** Places one step after the other, until [limit] runs are claimed. */
    private inner class Pass(nowMs: Long, private val limit: Int) {
        val claims = ArrayList<Record.RunClaimed>()
        val evictions = ArrayList<Eviction>()
        val unplaced = HashMap<ServiceId, UnplacedDemand>()
        val capped = ArrayList<CappedStep>()
        val places = HashMap<StepId, Int>()
        private val capacities = CapacityTracker(state, onProbation, isUsable)
        private val probed = CapacityTracker(state, onProbation, mayProbe)
        private val reservations = Reservations(state, capacities, nowMs)
        val order = WaitingOrder(reservations, capacities, nowMs, aboveShare)

        val isFull: Boolean
            get() = claims.size >= limit

        /** Places the tasks of [step] that its tenant's cap permits. */
        fun add(step: WaitingStep) {
            val permitted = caps.startable(step.job, step.description, step.tasks.size)
            if (permitted < step.tasks.size) capped.add(CappedStep(step, step.tasks.size - permitted))
            if (permitted > 0) addPermitted(step.withFirst(permitted))
        }

        private fun addPermitted(step: WaitingStep) {
            val placed = place(step, capacities, probed, reservations, limit - claims.size)
            claims.addAll(placed.claims)
            evictions.addAll(placed.vacancies.flatMap { it.evictions })
            caps.started(step.job, step.description, placed.claims.size)
            val missing = step.tasks.size - placed.claims.size - placed.held
            if (missing > 0 && mayEverFit(step)) addUnplaced(step, placed, missing)
        }

        /**
         * Keeps places for the displaced tasks of [step], and demands VMs for those that have none.
         *
         * Only lasting runs and gangs take a place from them, as other runs can be stopped.
         */
        fun addDisplaced(step: WaitingStep) {
            var missing = step.tasks.size
            for (capacity in placement.permitted(step, capacities)) {
                val slots = capacity.slotsForLasting(step.id, step.description, limit = missing)
                repeat(slots) { capacity.reserve(step.id, step.description) }
                missing -= slots
            }
            places[step.id] = step.tasks.size - missing
            if (missing == 0 || !mayEverFit(step)) return
            val demand = UnplacedDemand(
                lastingMillicores = missing * step.description.reserved.millicores,
                lastingWorkers = maxOf(1, workersFor(step.description, missing)),
            )
            unplaced.merge(step.queue.service, demand, UnplacedDemand::plus)
        }

        private fun addUnplaced(step: WaitingStep, placed: Placement, missing: Int) {
            val wanted = caps.wantable(step.job, step.description, missing)
            if (wanted == 0) return
            caps.addWanted(step.job, step.description, wanted)
            val demand = unplacedOf(step, wanted, freed = placed.vacancies.size)
            unplaced.merge(step.queue.service, demand, UnplacedDemand::plus)
            val isWhole = step.description.gang || placed.claims.isEmpty()
            if (isWhole && order.hasWaited(step)) reservations.reserve(step.withFirst(wanted))
        }
    }

    /**
     * Returns the demand of [missing] tasks of the step.
     *
     * @param freed number of these tasks that fit once the evicted runs have stopped.
     */
    private fun unplacedOf(step: WaitingStep, missing: Int, freed: Int = 0): UnplacedDemand {
        val description = step.description
        val lasting = if (description.lasting) missing - freed else 0
        return UnplacedDemand(
            millicores = missing * description.reserved.millicores,
            workers = workersFor(description, missing),
            lastingMillicores = lasting * description.reserved.millicores,
            lastingWorkers = if (lasting == 0) 0 else maxOf(1, workersFor(description, lasting)),
        )
    }

    /** Returns the number of workers that [tasks] need because of their limit per worker, or 0 if there is none. */
    private fun workersFor(description: StepDescription, tasks: Int): Int {
        val perWorker = description.maxPerWorker
        return if (perWorker == 0) 0 else (tasks + perWorker - 1) / perWorker
    }

    /**
     * Whether all VMs of the deployment together have the capacity for the step's next tasks: one, or a whole gang.
     *
     * Other services must not lend VMs for a step that no loan can place.
     */
    private fun mayEverFit(step: WaitingStep): Boolean {
        if (spares == null) return true
        val demand = step.description.reserved
        val needed = if (step.description.gang) step.tasks.size else 1
        var slots = 0L
        for (capacity in state.workers.values.asSequence().map { it.profile.capacity } + spares) {
            slots += demand.timesIn(capacity, needed)
            if (slots >= needed) return true
        }
        return false
    }

    /** Places the tasks of a step, the suspects among them apart; lasting ones also if no worker is open for that. */
    private fun place(
        step: WaitingStep,
        usable: CapacityTracker,
        probed: CapacityTracker,
        reservations: Reservations,
        limit: Int,
    ): Placement {
        val suspects = suspects[step.id].orEmpty().filter { it in step.tasks }
        if (suspects.isEmpty()) return placeSound(step, usable, probed, reservations, limit)
        val permitted = placement.permitted(step, usable)
        val open = permitted.filter { !it.isOnProbation && (step.description.lasting || !reservations.isReserved(it)) }
        if (step.description.gang) {
            val claims = placement.placeSuspectGang(step, open)
            return if (claims.isEmpty()) placeSound(step, usable, probed, reservations, limit) else Placement(claims)
        }
        val apart = placement.placeSuspects(step, suspects, permitted, open, limit)
        val placed = apart.mapTo(HashSet()) { it.run.task.index }
        val held = if (step.description.lasting) emptySet() else suspects.toSet() - placed
        val others = step.with(step.tasks.filter { it !in placed && it !in held })
        val rest = placeSound(others, usable, probed, reservations, limit - apart.size)
        val waiting = if (permitted.any { it.fits(step.id, step.description) }) held.size else 0
        return Placement(apart + rest.claims, rest.vacancies, waiting)
    }

    /** Places the tasks of a step; if it is lasting, evicts runs or uses quarantined workers for those left. */
    private fun placeSound(
        step: WaitingStep,
        usable: CapacityTracker,
        probed: CapacityTracker,
        reservations: Reservations,
        limit: Int,
    ): Placement {
        val candidates = placement.candidates(step, usable)
        val open = candidates.filter { step.description.lasting || !reservations.isReserved(it) }
        val placed = placement.place(step, step.tasks, open, limit)
        val missing = step.tasks.size - placed.size
        if (!step.description.lasting || missing == 0) return Placement(placed)
        // Searching runs to stop for a gang that never fits would take the leader's time in every plan.
        val isHopeless = step.description.gang && !reservations.isUseful(step)
        val wanted = if (isHopeless) 0 else caps.wantable(step.job, step.description, missing)
        val vacancies = if (wanted == 0) emptyList() else eviction.choose(step, wanted, candidates)
        // The runs end one by one; smaller tasks would take the room of the first ones.
        vacancies.forEach { reservations.keepForLasting(it.worker) }
        val isFreeing = if (step.description.gang) vacancies.size == missing else vacancies.isNotEmpty()
        val quarantined = placement.candidates(step, probed)
        if (isFreeing || quarantined.isEmpty()) return Placement(placed, vacancies)
        val left = step.tasks.drop(placed.size)
        val probes = placement.place(step, left, candidates + quarantined, limit - placed.size)
        return Placement(placed + probes, vacancies)
    }
}

/**
 * Result for one step.
 *
 * @property vacancies room for further tasks once runs have stopped.
 * @property held number of suspects that wait for a worker of their own, but for no capacity.
 */
private class Placement(
    val claims: List<Record.RunClaimed>,
    val vacancies: List<Vacancy> = emptyList(),
    val held: Int = 0,
)

/**
 * Result of a [Planner].
 *
 * @property unplaced demand that no worker has the capacity for, by service.
 * @property capped steps with tasks that wait for their tenant's cap.
 * @property places number of displaced tasks that other workers have room for, by step.
 */
internal class Plan(
    val claims: List<Record.RunClaimed>,
    val evictions: List<Eviction>,
    val unplaced: Map<ServiceId, UnplacedDemand>,
    val capped: List<CappedStep> = emptyList(),
    val places: Map<StepId, Int> = emptyMap(),
)

/** Step of which [tasks] tasks wait because their tenant would exceed its cap. */
internal class CappedStep(val step: WaitingStep, val tasks: Int)
