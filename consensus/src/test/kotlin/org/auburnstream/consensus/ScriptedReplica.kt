package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.random.Random

internal fun memberId(name: String) = MemberId(DaemonId(name), Incarnation(1))

internal fun votersOf(vararg names: String) = Configuration(names.map { Member(memberId(it), MemberRole.VOTER) })

internal fun membershipEntry(index: Long, term: Long, configuration: Configuration) =
    LogEntry(LogIndex(index), term, EntryPayload.Membership(configuration))

/** Replica `a` driven by single inputs; [handle] and [receive] make its writes durable immediately. */
internal class ScriptedReplica(hardState: HardState, entries: List<LogEntry>) {
    private val group = GroupId("g")
    private val self = memberId("a")
    var now = MonotonicTime.Zero
    val replica = Replica(
        Member(self),
        group,
        RestoredState(hardState, entries = entries),
        emptySet(),
        { emptySet() },
        Random(1),
        now,
    )

    /** Handles [input], then reports every write as durable; returns all effects. */
    fun handle(input: ReplicaInput): List<Effect> {
        val effects = replica.handle(input, now)
        val sequence = effects.filterIsInstance<Effect.Persist>().maxOfOrNull { it.sequence } ?: return effects
        return effects + handle(ReplicaInput.PersistCompleted(sequence))
    }

    fun receive(message: ConsensusMessage, from: String = "b") = handle(received(message, from))

    /** Receives [message] without reporting the resulting writes as durable. */
    fun receiveWithoutPersist(message: ConsensusMessage, from: String = "b") =
        replica.handle(received(message, from), now)

    private fun received(message: ConsensusMessage, from: String) =
        ReplicaInput.MessageReceived(Envelope(group, memberId(from), self.incarnation, message))
}

internal fun List<Effect>.appliedIndices(): List<Long> =
    filterIsInstance<Effect.Apply>().flatMap { apply -> apply.entries.map { it.index.value } }

internal inline fun <reified M : ConsensusMessage> List<Effect>.sent(): List<M> =
    filterIsInstance<Effect.Send>().map { it.envelope.message }.filterIsInstance<M>()
