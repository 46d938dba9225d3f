package org.auburnstream.fleet

import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val start: Instant = Instant.fromEpochSeconds(1_800_000_000)
internal val daemons = (1..3).map { DaemonId("d$it") }
internal val spare = PoolId("spare")
internal val wave = WaveId("w1")

internal fun pool(number: Int) = PoolId("p$number")

internal fun service(number: Int) = ServiceId("s$number")

private val vmIds = (0 until 100).map { VmId("vm%04d".format(it)) }

internal fun vm(number: Int) = vmIds[number]

internal fun announcement(
    number: Int,
    pool: PoolId,
    incarnation: Long = 1,
    dataCentre: Int = number % 3,
    rack: Int = number / 3 / 4,
) = Announcement(
    vm = vm(number),
    incarnation = incarnation,
    dataCentre = DataCentreId("dc$dataCentre"),
    rack = RackId("r$rack"),
    pool = pool,
    address = "10.0.0.$number",
    port = 80,
)

/** A fleet state with a virtual clock and unique operation ids; it checks the invariants after each command. */
internal class FleetFixture(var state: FleetState = FleetState()) {
    val checker = FleetInvariantChecker()
    var now = start
    private var operations = 0

    fun operation() = OperationId("op${operations++}")

    fun apply(command: FleetCommand, after: Duration = 1.seconds): FleetResult {
        now += after
        val result = state.apply(command, now)
        assertEquals(emptyList(), checker.observe(state, command, result), "after $command")
        return result
    }

    fun refusal(command: FleetCommand, after: Duration = 1.seconds): FleetRefusal? =
        (apply(command, after) as? FleetResult.Refused)?.reason

    fun phase(number: Int) = state.vms.getValue(vm(number)).phase

    /** Builds [pools] pools of [size] VMs with one service each, a spare pool, and windows that are always open. */
    fun build(pools: Int = 2, size: Int = 4, spares: Int = 1, budget: AvailabilityBudget = AvailabilityBudget()) {
        daemons.forEach { apply(FleetCommand.RegisterDaemon(it)) }
        var number = 0
        for (p in 1..pools) {
            apply(FleetCommand.DefineService(operation(), ServiceSpec(service(p), size, budget)))
            apply(FleetCommand.DefinePool(operation(), Pool(pool(p), listOf(service(p)))))
            repeat(size) { apply(FleetCommand.RegisterVm(announcement(number++, pool(p)))) }
        }
        apply(FleetCommand.DefinePool(operation(), Pool(spare, spare = true)))
        repeat(spares) { apply(FleetCommand.RegisterVm(announcement(number++, spare))) }
        for (id in state.pools.keys.toList()) {
            val alwaysOpen = MaintenanceWindow(id, null, start - 1.days, 7.days)
            apply(FleetCommand.DeclareWindows(operation(), id, listOf(alwaysOpen)))
        }
    }

    fun drain(number: Int, purpose: DrainPurpose = DrainPurpose.Maintenance(wave)) =
        refusal(FleetCommand.StartDrain(vm(number), purpose))

    fun permit(number: Int, evidence: List<DrainEvidence> = idleEvidence, after: Duration = 1.seconds): FleetRefusal? {
        val drain = (phase(number) as VmPhase.Draining).drain
        return refusal(FleetCommand.Permit(vm(number), drain, evidence), after)
    }

    fun returnFromRestart(number: Int, incarnation: Long = 2, after: Duration = 1.seconds): FleetRefusal? {
        val permit = (phase(number) as VmPhase.Stopped).permit
        apply(FleetCommand.ConfirmRestart(vm(number), permit), after)
        val owner = state.vms.getValue(vm(number)).pool
        return refusal(FleetCommand.RegisterVm(announcement(number, owner, incarnation)))
    }

    fun startWave(pools: List<PoolId> = listOf(pool(1)), pace: WavePace = WavePace(), id: WaveId = wave) =
        refusal(FleetCommand.StartWave(operation(), WaveSpec(id, pools, pace = pace)))

    companion object {
        val idleEvidence = daemons.map { DrainEvidence(it, DrainProof.REPORTED_IDLE) }
    }
}
