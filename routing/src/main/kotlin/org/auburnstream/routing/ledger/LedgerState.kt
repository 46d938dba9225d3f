package org.auburnstream.routing.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.UnknownReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Limits of the ledger; identical on every replica.
 *
 * @property window retention time of a key after its first claim, by the clocks of the proposers.
 * @property keys maximum number of stored keys.
 * @property answerBytes memory limit of all stored answers, in bytes.
 */
@Serializable
public data class LedgerBounds(
    val window: Duration = 1.hours,
    val keys: Int = 200_000,
    val answerBytes: Long = DEFAULT_ANSWER_BYTES,
) {
    private companion object {
        const val DEFAULT_ANSWER_BYTES = 64L * 1024 * 1024
    }
}

/**
 * State machine of the replicated ledger of idempotency keys, which ensures that a request is sent at most once even if
 * the caller repeats it through another daemon.
 *
 * A key is claimed before the request is sent. The first claim in the log holds the key; every other claim receives the
 * status of the key. A key whose holder failed cannot be claimed again within the window, since the request may have
 * run. No key is removed before its window has passed: a full ledger rejects new keys.
 */
public class LedgerState(private val bounds: LedgerBounds = LedgerBounds()) {
    private val records = LinkedHashMap<RequestKey, LedgerRecord>()
    private var answerBytes = 0L
    private var now = Instant.DISTANT_PAST

    /** Number of stored keys. */
    public val size: Int get() = records.size

    /** Applies [command] and returns the reply to its proposer. */
    public fun apply(command: LedgerCommand): LedgerReply {
        now = maxOf(now, command.at)
        dropExpired()
        return when (command) {
            is LedgerCommand.Claim -> claim(command)
            is LedgerCommand.Complete -> settle(command, statusOf(command.answer))
            is LedgerCommand.Lose -> settle(command, KeyStatus.Lost(command.reason))
            is LedgerCommand.Release -> release(command)
        }
    }

    /** Returns a snapshot of the state, with the keys in the order of their first claims. */
    public fun snapshot(): LedgerSnapshot = LedgerSnapshot(now, records.map { LedgerEntry(it.key, it.value) })

    /** Replaces the state with [snapshot]. */
    public fun restore(snapshot: LedgerSnapshot) {
        records.clear()
        now = snapshot.now
        snapshot.entries.forEach { records[it.request] = it.record }
        answerBytes = records.values.sumOf { it.status.answerBytes() }
    }

    private fun claim(command: LedgerCommand.Claim): LedgerReply {
        val record = records[command.request]
        if (record == null) {
            if (records.size >= bounds.keys) return LedgerReply.Full
            val status = KeyStatus.Claimed(command.claim, command.expiresAt)
            records[command.request] = LedgerRecord(command.digest, now, status)
            return LedgerReply.Claimed
        }
        if (record.digest != command.digest) return LedgerReply.Reused
        return when (val status = record.status) {
            is KeyStatus.Answered -> LedgerReply.Answered(status.answer)
            is KeyStatus.Lost -> LedgerReply.Lost(status.reason)
            is KeyStatus.Claimed -> claimHeld(command, record, status)
        }
    }

    /** Replies to a [command] whose key is held; an expired claim of another holder becomes lost. */
    private fun claimHeld(command: LedgerCommand.Claim, record: LedgerRecord, status: KeyStatus.Claimed): LedgerReply {
        if (status.claim == command.claim) return LedgerReply.Claimed
        if (now < status.until) return LedgerReply.InProgress(status.until)
        records[command.request] = record.copy(status = KeyStatus.Lost(UnknownReason.SENDER_LOST))
        return LedgerReply.Lost(UnknownReason.SENDER_LOST)
    }

    /** Sets the status of the key to [next] if the claim of [command] holds the key; a lost key stays lost. */
    private fun settle(command: LedgerCommand, next: KeyStatus): LedgerReply {
        val record = records[command.request] ?: return LedgerReply.Recorded
        val status = record.status
        val holds = status is KeyStatus.Claimed && status.claim == command.claim
        if (!holds) return LedgerReply.Recorded
        answerBytes += next.answerBytes()
        records[command.request] = record.copy(status = next)
        return LedgerReply.Recorded
    }

    private fun statusOf(answer: RecordedAnswer?): KeyStatus {
        val fits = answer != null && answerBytes + answer.body.size <= bounds.answerBytes
        return if (fits) KeyStatus.Answered(answer) else KeyStatus.Lost(UnknownReason.ANSWER_NOT_KEPT)
    }

    private fun release(command: LedgerCommand.Release): LedgerReply {
        val status = records[command.request]?.status
        if (status is KeyStatus.Claimed && status.claim == command.claim) records.remove(command.request)
        return LedgerReply.Recorded
    }

    private fun dropExpired() {
        val oldest = now - bounds.window
        val iterator = records.values.iterator()
        while (iterator.hasNext()) {
            val record = iterator.next()
            if (record.since > oldest) return
            answerBytes -= record.status.answerBytes()
            iterator.remove()
        }
    }
}

/** Snapshot of a [LedgerState]. */
@Serializable
public data class LedgerSnapshot(val now: Instant, val entries: List<LedgerEntry>)

/** Key and its record in a [LedgerSnapshot]. */
@Serializable
public data class LedgerEntry(val request: RequestKey, val record: LedgerRecord)

/** Stored state of a key that was first claimed at [since]. */
@Serializable
public data class LedgerRecord(val digest: RequestDigest, val since: Instant, val status: KeyStatus)

/** Status of a key. */
@Serializable
public sealed interface KeyStatus {
    /** The request of [claim] may be in progress until [until]. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val claim: ClaimId, val until: Instant) : KeyStatus

    /** The request was answered with [answer]. */
    @Serializable
    @SerialName("answered")
    public class Answered(public val answer: RecordedAnswer) : KeyStatus

    /** The request may have run. */
    @Serializable
    @SerialName("lost")
    public data class Lost(val reason: UnknownReason) : KeyStatus
}

private fun KeyStatus.answerBytes(): Long = if (this is KeyStatus.Answered) answer.body.size.toLong() else 0
