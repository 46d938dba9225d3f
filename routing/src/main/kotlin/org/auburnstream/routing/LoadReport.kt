package org.auburnstream.routing

import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Load of one service on one daemon, reported to metrics and the fleet.
 *
 * @property queued number of queued requests.
 * @property queuedBytes memory used by the queued requests, in bytes.
 * @property running number of requests that targets are running.
 */
public data class ServiceLoad(val service: ServiceId, val queued: Int, val queuedBytes: Long, val running: Int)

/**
 * Use of one target by one daemon, reported to metrics and the fleet.
 *
 * @property inUse number of requests of this daemon that the target is running.
 * @property slots number of requests of this daemon that the target may run concurrently.
 * @property ejected whether the target is ejected because of consecutive failures.
 * @property serving whether the target may receive new requests.
 */
public data class TargetLoad(
    val vm: VmId,
    val service: ServiceId,
    val inUse: Int,
    val slots: Int,
    val ejected: Boolean,
    val serving: Boolean,
)
