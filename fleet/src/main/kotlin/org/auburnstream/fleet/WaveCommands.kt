package org.auburnstream.fleet

import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import org.auburnstream.model.isValidId

/** Applies the operator commands on maintenance waves and tracks the progress of the waves. */
internal class WaveCommands(private val tables: FleetTables) {
    fun start(spec: WaveSpec): FleetRefusal? {
        if (!isValidId(spec.id.value) || spec.id in tables.waves) return FleetRefusal.InvalidValue(CommandField.ID)
        if (!spec.pace.isValid) return FleetRefusal.InvalidValue(CommandField.PACE)
        val unknown = spec.pools.firstOrNull { it !in tables.pools }
        if (unknown != null) return FleetRefusal.UnknownPool(unknown)
        val matchingVms = matchingVms(spec)
        if (matchingVms.isEmpty()) return FleetRefusal.WaveEmpty(spec.id)
        val other = tables.waves.values.firstOrNull { it.isOpen && it.pending.any(matchingVms::contains) }
        if (other != null) return FleetRefusal.WaveOverlaps(spec.id, other.spec.id)
        tables.waves[spec.id] = Wave(spec, startedAt = tables.clock, pending = matchingVms)
        removeOldestEnded()
        return null
    }

    fun change(id: WaveId, change: WaveChange): FleetRefusal? {
        val wave = tables.waves[id] ?: return FleetRefusal.UnknownWave(id)
        if (!wave.isOpen) return FleetRefusal.WaveNotRunning(id, wave.status)
        val status =
            when (change) {
                WaveChange.PAUSE -> WaveStatus.PAUSED
                WaveChange.RESUME -> WaveStatus.RUNNING
                WaveChange.CANCEL -> WaveStatus.CANCELLED
            }
        val endedAt = tables.clock.takeIf { status == WaveStatus.CANCELLED }
        tables.waves[id] = wave.copy(status = status, endedAt = endedAt)
        if (status != WaveStatus.RUNNING) cancelDrains(wave)
        return null
    }

    /** Records that [vm] has returned from its restart. */
    fun completeVm(id: WaveId, vm: VmId) {
        val wave = tables.waves[id] ?: return
        tables.waves[id] = finish(wave.copy(pending = wave.pending - vm, done = wave.done + vm))
    }

    /** Removes [vm] from all waves because it will not be maintained. */
    fun removeVm(vm: VmId) {
        for (wave in tables.waves.values.filter { vm in it.pending }) {
            tables.waves[wave.spec.id] = finish(wave.copy(pending = wave.pending - vm))
        }
    }

    private fun matchingVms(spec: WaveSpec): Set<VmId> = spec.pools
        .flatMap(tables::membersOf)
        .map(tables.vms::getValue)
        .filter { it.phase !is VmPhase.GivenUp }
        .filter { spec.dataCentres.isEmpty() || it.dataCentre in spec.dataCentres }
        .filter { spec.vms.isEmpty() || it.id in spec.vms }
        .mapTo(sortedSetOf()) { it.id }

    private fun finish(wave: Wave): Wave = if (wave.pending.isEmpty() && wave.isOpen) {
        wave.copy(status = WaveStatus.DONE, endedAt = tables.clock)
    } else {
        wave
    }

    /** Returns the VMs of [wave] that are draining without a permit to service. */
    private fun cancelDrains(wave: Wave) {
        tables
            .inProgress(wave.spec.id)
            .filter { it.phase is VmPhase.Draining }
            .forEach { tables.putVm(it.copy(phase = VmPhase.Active)) }
    }

    private fun removeOldestEnded() {
        val ended = tables.waves.values.filter { !it.isOpen }
        ended.dropLast(MAX_ENDED_WAVES).forEach { tables.waves.remove(it.spec.id) }
    }

    private companion object {
        const val MAX_ENDED_WAVES = 64
    }
}
