package org.auburnstream.fleet

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val LEASE = 3.seconds

/** Probability of each fault in one step of about two seconds, 0 to 1. */
internal data class Faults(
    val crash: Double = 0.004,
    val rackLoss: Double = 0.001,
    val dataCentreLoss: Double = 0.0003,
    val leaderLoss: Double = 0.02,
    val daemonPartition: Double = 0.01,
    val messageFault: Double = 0.1,
    val neverReturns: Double = 0.05,
    val operatorCommand: Double = 0.03,
) {
    companion object {
        val None = Faults(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
    }
}

/**
 * Simulates planner, daemons, VMs and platform on virtual time with random faults.
 *
 * Counts the requests that a planned stop interrupts and those that are sent to a draining VM after the lease expired.
 */
internal class FleetSimulation(seed: Int, private val faults: Faults, private val pools: Int = 3) {
    val fleet = FleetFixture()
    var interruptedRequests = 0
    var lateRequests = 0
    private val random = Random(seed)
    private val vms = sortedMapOf<VmId, SimVm>()
    private val simDaemons = daemons.map { SimDaemon(it) }
    private val queue = mutableListOf<Pair<MonotonicTime, () -> Unit>>()
    private val highestPermits = hashMapOf<VmId, FleetRevision>()
    private var leader = Leader(fleet.state, MonotonicTime.Zero)
    private val formerLeaders = mutableListOf<Leader>()
    private var waves = 0
    private var published = Placement.Empty

    private val now get() = MonotonicTime((fleet.now - start).inWholeNanoseconds)

    init {
        val budget = AvailabilityBudget(maxShortfall = 1, allowance = 60.minutes, maxOutage = 5.minutes)
        fleet.build(pools, size = 4, spares = 2, budget = budget)
        fleet.state.vms.values.forEachIndexed { number, vm -> vms[vm.id] = SimVm(number, vm.pool) }
    }

    fun run(steps: Int): FleetSimulation {
        proposeOperatorCommands(startOnly = true)
        repeat(steps) { step() }
        return this
    }

    private fun step() {
        fleet.now += random.nextInt(500, 3500).milliseconds
        val due = queue.filter { it.first <= now }
        queue.removeAll(due)
        due.forEach { it.second() }
        injectFaults()
        vms.values.forEach { it.announce() }
        simDaemons.forEach { it.step() }
        if (chance(faults.operatorCommand)) proposeOperatorCommands()
        (formerLeaders + leader).forEach { it.step() }
    }

    private fun injectFaults() {
        val up = vms.values.filter { it.isUp }
        if (chance(faults.crash)) up.randomOrNull(random)?.crash()
        if (chance(faults.rackLoss)) {
            vms.values.random(random).let { chosen ->
                up.filter { it.rack == chosen.rack }
            }.forEach { it.crash() }
        }
        if (chance(faults.dataCentreLoss)) up.filter { it.number % 3 == 0 }.forEach { it.crash() }
        if (chance(faults.leaderLoss)) {
            leader.state = fleet.state.copy()
            if (random.nextBoolean()) formerLeaders += leader
            if (formerLeaders.size > 2) formerLeaders.removeAt(0)
            leader = Leader(fleet.state, now)
        }
    }

    /** Proposes commands of one or two operators, who may use outdated information and act at the same time. */
    private fun proposeOperatorCommands(startOnly: Boolean = false) {
        val all = (1..pools).map(::pool)
        repeat(if (startOnly) 1 else 1 + random.nextInt(2)) {
            val vm = vms.keys.random(random)
            val open = WaveId("w${random.nextInt(waves + 1)}")
            val command =
                when (if (startOnly) 0 else random.nextInt(8)) {
                    0, 1 -> {
                        val pace = WavePace(1 + random.nextInt(3))
                        val covered = if (startOnly) all + spare else all.shuffled(random).take(2)
                        FleetCommand.StartWave(fleet.operation(), WaveSpec(WaveId("w${waves++}"), covered, pace = pace))
                    }
                    2 -> FleetCommand.ChangeWave(fleet.operation(), open, WaveChange.entries.random(random))
                    3 -> FleetCommand.ChangeWave(fleet.operation(), open, WaveChange.RESUME)
                    4 -> FleetCommand.MoveVm(fleet.operation(), vm, (all + spare).random(random))
                    5 -> FleetCommand.StartRepair(fleet.operation(), vm)
                    6 -> FleetCommand.GiveUpVm(fleet.operation(), vm)
                    else -> FleetCommand.ReadmitVm(fleet.operation(), vm)
                }
            propose(command)
            if (chance(faults.messageFault)) propose(command)
        }
    }

    private fun propose(command: FleetCommand) {
        val lost = chance(faults.messageFault / 2)
        val late = chance(faults.messageFault)
        if (lost && command !is FleetCommand.Operator) return
        if (late) schedule(40.seconds) { commit(command) } else commit(command)
    }

    private fun commit(command: FleetCommand) {
        fleet.apply(command, Duration.ZERO)
    }

    private fun sendToPlatform(request: PlatformRequest) {
        if (chance(faults.messageFault / 2)) return
        val times = if (chance(faults.messageFault)) 2 else 1
        repeat(times) { schedule(if (chance(faults.messageFault)) 300.seconds else 1.seconds) { execute(request) } }
    }

    private fun execute(request: PlatformRequest) {
        val vm = vms.getValue(request.vm)
        val highest = highestPermits[request.vm] ?: FleetRevision.Zero
        if (request.permit < highest) return
        if (request.permit > highest) {
            highestPermits[request.vm] = request.permit
            interruptedRequests +=
                simDaemons.sumOf { daemon ->
                    daemon.inProgress.count { it.first == request.vm && it.second > now }
                }
            if (request is PlatformRequest.Reassign) vm.pool = request.to else vm.restart()
        }
        if (request is PlatformRequest.Restart && !chance(faults.messageFault)) {
            schedule(2.seconds) { propose(FleetCommand.ConfirmRestart(request.vm, request.permit)) }
        }
    }

    private fun schedule(atMost: Duration, action: () -> Unit) {
        queue += (now + atMost * random.nextDouble()) to action
    }

    private fun chance(likelihood: Double) = random.nextDouble() < likelihood

    private inner class Leader(var state: FleetState, startedAt: MonotonicTime) {
        val reports = FleetReports(startedAt)
        val leases = daemons.associateWithTo(hashMapOf()) { startedAt + LEASE }
        private val planner = FleetPlanner { leases.getValue(it) }

        fun step() {
            if (this === leader) state = fleet.state
            val plan = planner.plan(state, reports, fleet.now, now)
            plan.commands.forEach(::propose)
            plan.requests.forEach(::sendToPlatform)
        }
    }

    private inner class SimVm(val number: Int, var pool: PoolId) {
        var incarnation = 1L
        var upAt = MonotonicTime.Zero
        private var lastAnnouncement = announcement(number, pool)
        val rack = number % 3 to number / 12
        val isUp get() = now >= upAt

        fun crash() = goDown(if (chance(0.1)) 9000.seconds else 20.seconds * random.nextInt(1, 60))

        fun restart() = goDown(if (chance(faults.neverReturns)) 9000.seconds else 10.seconds * random.nextInt(1, 12))

        fun announce() {
            if (!isUp || chance(faults.messageFault)) return
            if (lastAnnouncement.incarnation != incarnation || lastAnnouncement.pool != pool) {
                lastAnnouncement = announcement(number, pool, incarnation)
            }
            (formerLeaders + leader).forEach { it.reports.onAnnouncement(lastAnnouncement, now) }
        }

        private fun goDown(time: Duration) {
            upAt = now + time
            incarnation++
            simDaemons.forEach { daemon -> daemon.inProgress.removeAll { it.first == vm(number) } }
        }
    }

    private inner class SimDaemon(val id: DaemonId) {
        val inProgress = mutableListOf<Pair<VmId, MonotonicTime>>()
        private var view = Placement.Empty
        private var leaseEnd = MonotonicTime.Zero
        private var partitionedUntil = MonotonicTime.Zero
        private var sequence = 0L

        fun step() {
            if (chance(faults.daemonPartition)) partitionedUntil = now + 2.seconds * random.nextInt(1, 120)
            val connected = now >= partitionedUntil
            if (connected && !chance(faults.messageFault)) renew()
            inProgress.removeAll { it.second <= now }
            if (now < leaseEnd && id in view.daemons) repeat(random.nextInt(3)) { send() }
            if (connected) report()
        }

        /** Updates the daemon's view of the fleet and grants it a settings lease at that revision. */
        private fun renew() {
            if (published.revision != fleet.state.revision) {
                published = published.advance(fleet.state, fleet.state.takeChanges())
            }
            view = published
            leaseEnd = now + LEASE
            leader.leases[id] = leaseEnd
        }

        private fun send() {
            val target = view.vms.values.filter { it.state == PlacedState.ACTIVE }.randomOrNull(random) ?: return
            val phase = fleet.state.vms.getValue(target.id).phase
            if (phase is VmPhase.Draining && fleet.now - phase.since > LEASE) lateRequests++
            if (!vms.getValue(target.id).isUp) return
            val time = if (chance(0.1)) LONGEST_REQUEST else 4.seconds
            inProgress += target.id to now + time * random.nextDouble()
        }

        private fun report() {
            val report = DrainReport(id, sequence++, view.revision, inProgress.map { it.first }.toSet())
            repeat(if (chance(faults.messageFault)) 2 else 1) {
                val delay = if (chance(faults.messageFault)) 30.seconds else 1.seconds
                schedule(delay) { (formerLeaders + leader).forEach { it.reports.onDrainReport(report) } }
            }
        }
    }
}
