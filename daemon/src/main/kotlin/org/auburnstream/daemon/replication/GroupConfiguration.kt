package org.auburnstream.daemon.replication

import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.GroupId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Configuration of a daemon's replica of a replicated group.
 *
 * @property initialVoters daemons that form the group when it does not exist yet; afterwards the group's log
 * determines the members.
 * @property dataCentre data centre of this daemon.
 * @property snapshotEntries number of entries applied since the last snapshot that triggers the next one.
 * @property snapshotBytes approximate bytes of the entries applied since the last snapshot that trigger the next one.
 * @property resendInterval time after which an unanswered request to the leader is resent.
 * @property maxWaitingCalls maximum number of calls queued on this daemon while no leader is known.
 * @property maxTimeout maximum timeout of a call; a leader discards the request records of a daemon that has sent no
 * request for twice this time.
 */
public data class GroupConfiguration(
    val id: GroupId,
    val initialVoters: Set<DaemonId>,
    val dataCentre: DataCentreId? = null,
    val settings: ReplicaSettings = ReplicaSettings.Default,
    val snapshotEntries: Long = 10_000,
    val snapshotBytes: Long = DEFAULT_SNAPSHOT_BYTES,
    val resendInterval: Duration = 500.milliseconds,
    val maxWaitingCalls: Int = DEFAULT_WAITING_CALLS,
    val maxTimeout: Duration = 30.seconds,
)

private const val DEFAULT_SNAPSHOT_BYTES = 4L * 1024 * 1024
private const val DEFAULT_WAITING_CALLS = 1024
