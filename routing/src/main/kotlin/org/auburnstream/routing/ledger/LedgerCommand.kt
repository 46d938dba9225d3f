package org.auburnstream.routing.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.ServiceId
import org.auburnstream.model.UnknownReason
import kotlin.jvm.JvmInline
import kotlin.time.Instant

/** Idempotency key of a request, scoped to its service. */
@Serializable
public data class RequestKey(val service: ServiceId, val key: IdempotencyKey)

/** Identifies one attempt to claim a key; unique among all daemons and their starts. */
@Serializable
@JvmInline
public value class ClaimId(public val value: String) {
    override fun toString(): String = value
}

/** Digest of the method, path and body of a request. */
@Serializable
@JvmInline
public value class RequestDigest(public val value: String) {
    override fun toString(): String = value
}

/** Answer that is stored to be returned to repeated requests; [body] is the complete body. */
@Serializable
public class RecordedAnswer(
    public val status: Int,
    public val reason: String,
    public val headers: List<RecordedHeader>,
    public val body: ByteArray,
)

/** Header field of a stored answer. */
@Serializable
public data class RecordedHeader(val name: String, val value: String)

/** Command to the replicated ledger of idempotency keys; [at] is the wall clock time of the proposer. */
@Serializable
public sealed interface LedgerCommand {
    public val request: RequestKey
    public val claim: ClaimId
    public val at: Instant

    /**
     * Claims a key before the request is sent.
     *
     * @property expiresAt time after which no exchange under the claim can be in progress.
     */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val request: RequestKey,
        override val claim: ClaimId,
        override val at: Instant,
        val digest: RequestDigest,
        val expiresAt: Instant,
    ) : LedgerCommand

    /** Records that the request was answered; [answer] is null if it is too large to store. */
    @Serializable
    @SerialName("complete")
    public class Complete(
        override val request: RequestKey,
        override val claim: ClaimId,
        override val at: Instant,
        public val answer: RecordedAnswer?,
    ) : LedgerCommand

    /** Records that the request may have run but its answer was lost. */
    @Serializable
    @SerialName("lose")
    public data class Lose(
        override val request: RequestKey,
        override val claim: ClaimId,
        override val at: Instant,
        val reason: UnknownReason,
    ) : LedgerCommand

    /** Releases the key, since the request was not run. */
    @Serializable
    @SerialName("release")
    public data class Release(
        override val request: RequestKey,
        override val claim: ClaimId,
        override val at: Instant,
    ) : LedgerCommand
}

/** Result of a [LedgerCommand]. */
@Serializable
public sealed interface LedgerReply {
    /** The claim holds the key: the request may be sent once. */
    @Serializable
    @SerialName("claimed")
    public data object Claimed : LedgerReply

    /** The command was recorded, or had no effect because its claim does not hold the key. */
    @Serializable
    @SerialName("recorded")
    public data object Recorded : LedgerReply

    /** The request was already answered with [answer]. */
    @Serializable
    @SerialName("answered")
    public class Answered(public val answer: RecordedAnswer) : LedgerReply

    /** An earlier send of the request may have run. */
    @Serializable
    @SerialName("lost")
    public data class Lost(val reason: UnknownReason) : LedgerReply

    /** Another claim holds the key until [until] at the latest. */
    @Serializable
    @SerialName("in-progress")
    public data class InProgress(val until: Instant) : LedgerReply

    /** The key was already used with a different request. */
    @Serializable
    @SerialName("reused")
    public data object Reused : LedgerReply

    /** The ledger is full until stored keys expire. */
    @Serializable
    @SerialName("full")
    public data object Full : LedgerReply
}
