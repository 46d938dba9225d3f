package org.auburnstream.daemon.target

import org.auburnstream.model.UnknownReason
import kotlin.time.Duration

/** Answer of a target. */
public class TargetAnswer(
    public val status: Int,
    public val reason: String,
    public val headers: List<HttpHeader>,
    public val body: AnswerBody,
)

/** Body of a target's answer. */
public sealed interface AnswerBody {
    /** A body that was received to its end. */
    public class Whole(public val bytes: ByteArray) : AnswerBody

    /**
     * A body too large to hold; its end is not yet known.
     *
     * @property length announced length in bytes, or null if the target did not say.
     */
    public abstract class Stream(public val length: Long?) : AnswerBody {
        /**
         * Passes the body on in parts.
         *
         * @throws TruncatedAnswerException if the body ended early or broke the protocol.
         */
        public abstract suspend fun forEachPart(block: suspend (bytes: ByteArray, count: Int) -> Unit)
    }
}

/** A streamed answer that did not arrive whole, because of [reason]. */
public class TruncatedAnswerException(public val reason: UnknownReason) :
    Exception("answer was cut short: $reason; what was passed on of it must not be taken as whole")

/** How an exchange with a target ended, and its answer if there is one. */
public sealed interface ExchangeReport {
    /** The answer was received to its end; a streamed one was passed on as well. */
    public class Answered(public val answer: TargetAnswer) : ExchangeReport

    /** No byte of the request was written. */
    public data class NotSent(val cause: NotSentCause) : ExchangeReport

    /** The target said that it did not run the request. */
    public data class Refused(val retryAfter: Duration?) : ExchangeReport

    /** The request may have run. */
    public data class Lost(val reason: UnknownReason) : ExchangeReport
}

/** Why a request was not written to a target. */
public enum class NotSentCause(internal val unreachable: Boolean) {
    /** The target did not accept a connection. */
    CONNECT_FAILED(true),

    /** The target did not accept a connection in time. */
    CONNECT_TIMEOUT(true),

    /** All connections that this daemon may have to the target are open. */
    NO_CONNECTION_LEFT(false),

    /** The decision to send the request had become void before it was written. */
    TOO_LATE(false),
}
