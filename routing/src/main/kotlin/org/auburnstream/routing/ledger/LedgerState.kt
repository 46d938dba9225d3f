package org.auburnstream.routing.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.UnknownReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/**
 * Bounds of the ledger; the same at every replica.
 *
 * @property window time that a key is kept after its first claim, by the clocks of the proposers.
 * @property keys largest number of kept keys.
 * @property answerBytes memory of all kept answers, in bytes.
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
 * Replicated record of idempotency keys, by which a request is sent at most once whatever daemon it is sent through.
 *
 * A key is claimed before the request is sent. The claim that comes first in the log holds the key; every other one
 * learns what became of it. A key whose holder vanished is never claimed again inside the window, since the request
 * may have run. Nothing is dropped before its window has passed: a full ledger refuses new keys.
 */
public class LedgerState(private val bounds: LedgerBounds = LedgerBounds()) {
    private val records = LinkedHashMap<RequestKey, LedgerRecord>()
    private var answerBytes = 0L
    private var now = Instant.DISTANT_PAST

    /** Number of kept keys. */
    public val size: Int get() = records.size

    /** Applies [command] and returns what its proposer has to know. */
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

    /** Returns everything that is kept, in the order of the first claims. */
    public fun snapshot(): LedgerSnapshot = LedgerSnapshot(now, records.map { LedgerEntry(it.key, it.value) })

    /** Replaces everything that is kept by [snapshot]. */
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

    private fun claimHeld(command: LedgerCommand.Claim, record: LedgerRecord, status: KeyStatus.Claimed): LedgerReply {
        if (status.claim == command.claim) return LedgerReply.Claimed
        if (now < status.until) return LedgerReply.InProgress(status.until)
        records[command.request] = record.copy(status = KeyStatus.Lost(UnknownReason.SENDER_LOST))
        return LedgerReply.Lost(UnknownReason.SENDER_LOST)
    }

    /** Only the claim that holds the key settles it; one that was given up for lost stays lost. */
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

/** What a replica of the ledger keeps. */
@Serializable
public data class LedgerSnapshot(val now: Instant, val entries: List<LedgerEntry>)

/** A key and what is kept of it. */
@Serializable
public data class LedgerEntry(val request: RequestKey, val record: LedgerRecord)

/** What is kept of a key since its first claim at [since]. */
@Serializable
public data class LedgerRecord(val digest: RequestDigest, val since: Instant, val status: KeyStatus)

/** What became of a key. */
@Serializable
public sealed interface KeyStatus {
    /** [claim] may be in progress until [until]. */
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
