package org.auburnstream.model

import kotlinx.serialization.Serializable

/**
 * Periodic message by which a target makes itself known to a daemon.
 *
 * @property vm id of the VM, unique in the fleet.
 * @property incarnation grows with each boot of the VM; an announcement of an earlier one is refused.
 * @property pool pool that the VM believes it belongs to.
 * @property address IP number of the target's listener.
 * @property port TCP port of the target's listener, 1 to 65535.
 * @property service service that the target runs, or null for a VM that only runs jobs.
 * @property slots requests that the target runs at the same time.
 * @property connections connections that the target accepts at the same time.
 * @property processors number of processors.
 * @property memoryMegabytes memory in MiB.
 * @property accelerators number of accelerators.
 * @property leaving true once the target wants no new work.
 */
@Serializable
public data class Announcement(
    val vm: VmId,
    val incarnation: Long,
    val dataCentre: DataCentreId,
    val rack: RackId,
    val pool: PoolId,
    val address: String,
    val port: Int,
    val service: ServiceId? = null,
    val slots: Int = DEFAULT_SLOTS,
    val connections: Int = DEFAULT_CONNECTIONS,
    val processors: Int = 1,
    val memoryMegabytes: Long = 0,
    val accelerators: Int = 0,
    val leaving: Boolean = false,
) {
    public companion object {
        /** Requests that a target runs at the same time unless it announces otherwise. */
        public const val DEFAULT_SLOTS: Int = 8

        /** Connections that a target accepts unless it announces otherwise. */
        public const val DEFAULT_CONNECTIONS: Int = 64
    }
}
