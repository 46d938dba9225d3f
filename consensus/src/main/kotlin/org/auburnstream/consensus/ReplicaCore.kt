package org.auburnstream.consensus

import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** State that the parts of a replica share. */
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
     * When the leader was last heard, or null if not since the last campaign.
     *
     * A replica that restarts may have answered a leader just before, so it counts the leader as heard at its start.
     */
    var lastLeaderContact: MonotonicTime? = now.takeUnless { restored.isEmpty }
        private set
    var electionDeadline: MonotonicTime = now
        private set
    var commitIndex: LogIndex = log.baseIndex
        private set

    /** Latest snapshot that the store holds. */
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
     * A voter whose removal is not known to be committed still may: its log can be the only one that is long enough.
     */
    val mayCampaign: Boolean
        get() = isVoter || (log.configuration.index > commitIndex && log.previousConfiguration.isVoter(id))

    /** Whether the leader was heard so recently that no other may be elected. */
    val isLeaderAlive: Boolean
        get() = lastLeaderContact?.let { now - it < settings.electionTimeoutMin } ?: false

    init {
        resetElectionDeadline()
    }

    fun recordHardState(state: HardState) {
        hardState = state
        outbox.recordHardState(state)
    }

    /** Follows [newLeader], if known, in [newTerm], which is not older than the current term. */
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

    /** Sets the time after which a campaign that is not decided is repeated. */
    fun resetCampaignDeadline() {
        electionDeadline = now + randomBetween(settings.campaignTimeoutMin, settings.campaignTimeoutMax)
    }

    private fun randomBetween(min: Duration, max: Duration): Duration =
        min + random.nextLong((max - min).inWholeNanoseconds).nanoseconds

    /** Commits everything up to [index], if it is not committed yet. */
    fun commitTo(index: LogIndex) {
        if (index <= commitIndex) return
        val entries = log.range(commitIndex + 1, index)
        commitIndex = index
        entries.forEach(proposals::onCommitted)
        outbox.emit(Effect.Apply(entries))
    }

    /** Continues after [metadata], whose snapshot replaces the log. */
    fun installSnapshot(metadata: SnapshotMetadata, bytes: ByteArray) {
        log.reset(metadata)
        commitIndex = metadata.index
        proposals.abandonUpTo(metadata.index)
        snapshot = metadata
        snapshotBytes = bytes.size.toLong()
        outbox.installSnapshot(metadata, bytes)
    }
}

/** Role of a replica in the election of its group. */
public enum class RaftRole {
    /** Follows a leader, if there is one. */
    FOLLOWER,

    /** Asks whether it would be elected. */
    PRE_CANDIDATE,

    /** Asks for votes. */
    CANDIDATE,

    /** Orders the entries. */
    LEADER,
}
