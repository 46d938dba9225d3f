package org.auburnstream.daemon.replication

import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.GroupId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a daemon is told of a replicated group.
 *
 * @property initialVoters daemons that form the group when it does not exist yet; later the group's own log decides.
 * @property dataCentre place of this daemon.
 * @property snapshotEntries entries applied since the last snapshot after which another is taken.
 * @property snapshotBytes bytes of commands applied since the last snapshot after which another is taken.
 * @property resendInterval time after which a request to the leader is sent again.
 * @property maxWaitingCalls calls that may wait for a leader at this daemon.
 * @property maxTimeout longest timeout of a call; a leader forgets a daemon that is silent for twice as long.
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
