package org.auburnstream.api

import kotlinx.serialization.Serializable

/**
 * State of one daemon and of its control group as the daemon sees it.
 *
 * @property lease state of the daemon's settings lease.
 */
@Serializable
public data class StatusView(
    val daemon: String,
    val group: String,
    val role: String,
    val term: Long,
    val leader: String?,
    val commitIndex: Long,
    val appliedIndex: Long,
    val settingsVersion: Long,
    val epoch: Long,
    val lease: LeaseView,
    val daemons: List<DaemonLeaseView> = emptyList(),
)

/** State of a daemon's settings lease. */
@Serializable
public data class LeaseView(val live: Boolean, val remainingMillis: Long)

/** A daemon as the leader sees it; only the leader lists them. */
@Serializable
public data class DaemonLeaseView(val daemon: String, val appliedIndex: Long, val leaseRemainingMillis: Long)
