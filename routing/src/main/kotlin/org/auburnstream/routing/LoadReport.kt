package org.auburnstream.routing

import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Load of one service on one daemon.
 *
 * @property queued requests that wait.
 * @property queuedBytes memory of the requests that wait.
 * @property running requests that targets are running.
 */
public data class ServiceLoad(val service: ServiceId, val queued: Int, val queuedBytes: Long, val running: Int)

/**
 * One daemon's use of one target.
 *
 * @property inUse requests of this daemon that the target is running.
 * @property slots requests of this daemon that the target may run at the same time.
 * @property serving whether the target may get new work.
 */
public data class TargetLoad(
    val vm: VmId,
    val service: ServiceId,
    val inUse: Int,
    val slots: Int,
    val ejected: Boolean,
    val serving: Boolean,
)
