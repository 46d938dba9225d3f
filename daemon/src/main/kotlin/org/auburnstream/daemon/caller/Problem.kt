package org.auburnstream.daemon.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.RequestId
import org.auburnstream.model.UnknownReason
import kotlin.time.Duration

/**
 * Problem details of a request without an answer (RFC 9457).
 *
 * @property type stable name of the problem; callers decide by it, not by the texts.
 * @property outcome `not-run` or `outcome-unknown`.
 * @property retryAfterMs milliseconds after which the caller may come back, or null if that would not help.
 */
@Serializable
public data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val outcome: String,
    val request: String? = null,
    val retryAfterMs: Long? = null,
) {
    /** Returns the problem as `application/problem+json`. */
    public fun toJson(): ByteArray = Json.encodeToString(serializer(), this).toByteArray()

    public companion object {
        /** Prefix of [Problem.type]. */
        public const val TYPE_PREFIX: String = "urn:auburnstream:problem:"

        /** Value of [Problem.outcome] of a request that was not run. */
        public const val NOT_RUN: String = "not-run"

        /** Value of [Problem.outcome] of a request that may have run. */
        public const val OUTCOME_UNKNOWN: String = "outcome-unknown"

        /** Problem of a request that was not run for [reason]. */
        public fun notRun(reason: NotRunReason, retryAfter: Duration, id: RequestId): Problem = Problem(
            type = TYPE_PREFIX + reason.name.kebab(),
            title = reason.title(),
            status = reason.status(),
            outcome = NOT_RUN,
            request = id.value,
            retryAfterMs = retryAfter.inWholeMilliseconds,
        )

        /** Problem of a request that may have run. */
        public fun unknown(reason: UnknownReason, id: RequestId): Problem = Problem(
            type = TYPE_PREFIX + OUTCOME_UNKNOWN,
            title = "The request may have run; its answer is lost (${reason.name.kebab()}).",
            status = if (reason == UnknownReason.DEADLINE_EXCEEDED) GATEWAY_TIMEOUT else BAD_GATEWAY,
            outcome = OUTCOME_UNKNOWN,
            request = id.value,
        )

        /** Problem of a request that was not understood. */
        public fun invalid(fault: RequestFault): Problem = Problem(
            type = TYPE_PREFIX + fault.name.kebab(),
            title = fault.title,
            status = fault.status,
            outcome = NOT_RUN,
        )
    }
}

/** Why a request was not understood. */
public enum class RequestFault(internal val status: Int, internal val title: String) {
    /** The head broke HTTP/1.1. */
    MALFORMED_HEAD(400, "The request line or a header field is malformed."),

    /** The body was cut short or broke HTTP/1.1. */
    MALFORMED_BODY(400, "The body is cut short, or its length is given twice or wrongly."),

    /** The head exceeds the bound. */
    HEAD_TOO_LARGE(431, "The head of the request is too large; send fewer or shorter header fields."),

    /** The body exceeds the bound. */
    BODY_TOO_LARGE(413, "The body of the request is too large."),

    /** The request was not read in time. */
    READ_TIMEOUT(408, "The request did not arrive in time."),

    /** The path does not begin with a service id. */
    INVALID_PATH(404, "The path must begin with the id of a service, as in /orders/42."),

    /** The deadline is not a number of milliseconds above zero. */
    INVALID_DEADLINE(400, "X-Request-Deadline-Ms must be a whole number of milliseconds above zero."),

    /** The urgency class is unknown. */
    INVALID_URGENCY(400, "X-Urgency must be batch, normal or urgent."),

    /** The team is not an id. */
    INVALID_TEAM(400, "X-Team must be 1 to 128 letters, digits, '.', '_' or '-'."),

    /** The idempotency key is not valid. */
    INVALID_KEY(400, "Idempotency-Key must be 1 to 128 printable characters without spaces."),

    /** Too many connections are open. */
    TOO_MANY_CONNECTIONS(503, "Too many connections are open; come back later."),
}

private fun NotRunReason.status(): Int = when (this) {
    NotRunReason.OVERLOADED, NotRunReason.DISPLACED -> TOO_MANY_REQUESTS
    NotRunReason.UNKNOWN_SERVICE -> NOT_FOUND
    NotRunReason.KEY_IN_PROGRESS -> CONFLICT
    NotRunReason.KEY_REUSED -> UNPROCESSABLE
    else -> UNAVAILABLE
}

private fun NotRunReason.title(): String = when (this) {
    NotRunReason.OVERLOADED -> "The service's queue is full."
    NotRunReason.DEADLINE_TOO_SHORT -> "The request cannot be answered by its deadline."
    NotRunReason.DISPLACED -> "A more urgent request took the place in the queue."
    NotRunReason.NO_TARGET -> "The service has no target that may be given work."
    NotRunReason.UNKNOWN_SERVICE -> "The service is not known."
    NotRunReason.SETTINGS_LEASE_EXPIRED -> "The daemon is cut off from the control group."
    NotRunReason.STOPPING -> "The daemon is stopping."
    NotRunReason.REFUSED_BY_TARGET -> "The target did not run the request."
    NotRunReason.TARGET_UNREACHABLE -> "No connection to a target could be opened in time."
    NotRunReason.CANCELLED -> "The caller went away before the request was sent."
    NotRunReason.KEY_REUSED -> "The idempotency key was used with a different request."
    NotRunReason.KEY_IN_PROGRESS -> "The first request with this idempotency key is still in progress."
}

private fun String.kebab(): String = lowercase().replace('_', '-')

private const val TOO_MANY_REQUESTS = 429
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val UNPROCESSABLE = 422
private const val BAD_GATEWAY = 502
private const val UNAVAILABLE = 503
private const val GATEWAY_TIMEOUT = 504
