package org.auburnstream.model

import kotlinx.serialization.Serializable

/**
 * Registration message that a target sends to a daemon at regular intervals.
 *
 * It identifies the VM and states its location, its address and its capacity.
 *
 * @property vm id of the VM, unique in the fleet.
 * @property incarnation number that grows with each boot of the VM; a daemon rejects an announcement with an earlier
 *   incarnation.
 * @property pool pool to which the VM belongs according to the VM itself.
 * @property address IP address of the target's listener.
 * @property port TCP port of the target's listener, 1 to 65535.
 * @property service service that the target runs, or null for a VM that only runs jobs.
 * @property slots maximum number of requests that the target runs concurrently.
 * @property connections maximum number of connections that the target accepts concurrently.
 * @property processors number of processors.
 * @property memoryMegabytes memory in MiB.
 * @property accelerators number of accelerators.
 * @property leaving true once the target requests that no new work be assigned to it.
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
        /** Number of concurrent requests of a target that announces no `slots`. */
        public const val DEFAULT_SLOTS: Int = 8

        /** Number of concurrent connections of a target that announces no `connections`. */
        public const val DEFAULT_CONNECTIONS: Int = 64
    }
}
