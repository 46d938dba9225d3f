package org.auburnstream.consensus

import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** State shared by the components of a [Replica]: log, term and vote, role, commit index and timers. */
internal class ReplicaCore(
    val self: Member,
    val group: GroupId,
    restored: RestoredState,
    val settings: ReplicaSettings,
    private val random: Random,
    var now: MonotonicTime,
) {
    val log = RaftLog(restored.snapshot, restored.entries)
    val outbox = Outbox(self.id, group, log.lastIndex)
    val proposals = PendingProposals(outbox)

    var hardState: HardState = restored.hardState
        private set
    var role: RaftRole = RaftRole.FOLLOWER
    var leader: MemberId? = null
        private set

    /**
     * Time of the last message from the leader, or null if there was none since the last campaign.
     *
     * A replica may have answered a leader just before it restarted, so the time of its start counts as contact.
     */
    var lastLeaderContact: MonotonicTime? = now.takeUnless { restored.isEmpty }
        private set
    var electionDeadline: MonotonicTime = now
        private set
    var commitIndex: LogIndex = log.baseIndex
        private set

    /** Latest snapshot in the store. */
    var snapshot: SnapshotMetadata? = restored.snapshot
    var snapshotBytes: Long = restored.snapshotBytes

    val id: MemberId
        get() = self.id
    val term: Long
        get() = hardState.term
    val configuration: Configuration
        get() = log.configuration.configuration
    val isVoter: Boolean
        get() = configuration.isVoter(id)

    /**
     * Whether this replica may campaign.
     *
     * A voter may campaign until its removal is known to be committed, since its log can be the only one that is up to
     * date enough to win.
     */
    val mayCampaign: Boolean
        get() = isVoter || (log.configuration.index > commitIndex && log.previousConfiguration.isVoter(id))

    /** Whether the last message from the leader is so recent that no other leader may be elected. */
    val isLeaderAlive: Boolean
        get() = lastLeaderContact?.let { now - it < settings.electionTimeoutMin } ?: false

    init {
        resetElectionDeadline()
    }

    fun recordHardState(state: HardState) {
        hardState = state
        outbox.recordHardState(state)
    }

    /** Becomes a follower of [newLeader], if known, in [newTerm], which is not older than the current term. */
    fun becomeFollower(newTerm: Long, newLeader: MemberId?) {
        if (newTerm > term) recordHardState(HardState(newTerm))
        role = RaftRole.FOLLOWER
        leader = newLeader
        if (newLeader == null) return
        lastLeaderContact = now
        resetElectionDeadline()
    }

    fun becomeLeader() {
        role = RaftRole.LEADER
        leader = id
        lastLeaderContact = null
    }

    fun clearLeader() {
        leader = null
        lastLeaderContact = null
    }

    fun resetElectionDeadline() {
        electionDeadline = now + randomBetween(settings.electionTimeoutMin, settings.electionTimeoutMax)
    }

    /** Sets the time at which an undecided campaign is repeated. */
    fun resetCampaignDeadline() {
        electionDeadline = now + randomBetween(settings.campaignTimeoutMin, settings.campaignTimeoutMax)
    }

    private fun randomBetween(min: Duration, max: Duration): Duration =
        min + random.nextLong((max - min).inWholeNanoseconds).nanoseconds

    /** Commits the entries up to [index] that are not committed yet. */
    fun commitTo(index: LogIndex) {
        if (index <= commitIndex) return
        val entries = log.range(commitIndex + 1, index)
        commitIndex = index
        entries.forEach(proposals::onCommitted)
        outbox.emit(Effect.Apply(entries))
    }

    /** Replaces the log by the snapshot [bytes] that [metadata] describes. */
    fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray) {
        log.reset(metadata)
        commitIndex = metadata.index
        proposals.abandonUpTo(metadata.index)
        snapshot = metadata
        snapshotBytes = bytes.size.toLong()
        outbox.installSnapshot(metadata, bytes)
    }
}

/** Role of a replica in the Raft protocol. */
public enum class RaftRole {
    /** Follows a leader, if there is one. */
    FOLLOWER,

    /** Requests pre-votes, before it raises its term. */
    PRE_CANDIDATE,

    /** Requests votes in its new term. */
    CANDIDATE,

    /** Appends new entries to the log and replicates them. */
    LEADER,
}
