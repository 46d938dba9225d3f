package org.auburnstream.daemon.caller

import io.ktor.http.HttpStatusCode
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
 * @property outcome `not-run`, `in-progress` or `outcome-unknown`.
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

        /** Value of [Problem.outcome] of a request that an earlier one with the same key is running. */
        public const val IN_PROGRESS: String = "in-progress"

        /** Value of [Problem.outcome] of a request that may have run. */
        public const val OUTCOME_UNKNOWN: String = "outcome-unknown"

        /** Problem of a request that was not run for [reason]. */
        public fun notRun(reason: NotRunReason, retryAfter: Duration, id: RequestId): Problem = Problem(
            type = TYPE_PREFIX + reason.name.kebab(),
            title = reason.title(),
            status = reason.status().value,
            outcome = if (reason == NotRunReason.KEY_IN_PROGRESS) IN_PROGRESS else NOT_RUN,
            request = id.value,
            retryAfterMs = retryAfter.inWholeMilliseconds,
        )

        /** Problem of a request that may have run. */
        public fun unknown(reason: UnknownReason, id: RequestId): Problem = Problem(
            type = TYPE_PREFIX + OUTCOME_UNKNOWN,
            title = "The request may have run; its answer is lost (${reason.name.kebab()}).",
            status = unknownStatus(reason).value,
            outcome = OUTCOME_UNKNOWN,
            request = id.value,
            retryAfterMs = KEY_RETRY_MS.takeIf { reason == UnknownReason.KEY_NOT_RECORDED },
        )

        /** Problem of a request that was not understood. */
        public fun invalid(fault: RequestFault): Problem = Problem(
            type = TYPE_PREFIX + fault.name.kebab(),
            title = fault.title,
            status = fault.status.value,
            outcome = NOT_RUN,
        )
    }
}

/** Why a request was not understood. */
public enum class RequestFault(internal val status: HttpStatusCode, internal val title: String) {
    /** The head broke HTTP/1.1. */
    MALFORMED_HEAD(HttpStatusCode.BadRequest, "The request line or a header field is malformed."),

    /** The body was cut short or broke HTTP/1.1. */
    MALFORMED_BODY(HttpStatusCode.BadRequest, "The body is cut short, or its length is given twice or wrongly."),

    /** The head exceeds the bound. */
    HEAD_TOO_LARGE(
        HttpStatusCode.RequestHeaderFieldTooLarge,
        "The head of the request is too large; send fewer or shorter header fields.",
    ),

    /** The body exceeds the bound. */
    BODY_TOO_LARGE(HttpStatusCode.PayloadTooLarge, "The body of the request is too large."),

    /** The request was not read in time. */
    READ_TIMEOUT(HttpStatusCode.RequestTimeout, "The request did not arrive in time."),

    /** The path does not begin with a service id. */
    INVALID_PATH(HttpStatusCode.NotFound, "The path must begin with the id of a service, as in /orders/42."),

    /** The deadline is not a number of milliseconds above zero. */
    INVALID_DEADLINE(
        HttpStatusCode.BadRequest,
        "X-Request-Deadline-Ms must be a whole number of milliseconds above zero.",
    ),

    /** The urgency class is unknown. */
    INVALID_URGENCY(HttpStatusCode.BadRequest, "X-Urgency must be batch, normal or urgent."),

    /** The team is not an id. */
    INVALID_TEAM(HttpStatusCode.BadRequest, "X-Team must be 1 to 128 letters, digits, '.', '_' or '-'."),

    /** The idempotency key is not valid. */
    INVALID_KEY(HttpStatusCode.BadRequest, "Idempotency-Key must be 1 to 128 printable characters without spaces."),

    /** Too many connections are open. */
    TOO_MANY_CONNECTIONS(HttpStatusCode.ServiceUnavailable, "Too many connections are open; come back later."),
}

private fun unknownStatus(reason: UnknownReason): HttpStatusCode = when (reason) {
    UnknownReason.DEADLINE_EXCEEDED -> HttpStatusCode.GatewayTimeout
    UnknownReason.KEY_NOT_RECORDED -> HttpStatusCode.ServiceUnavailable
    else -> HttpStatusCode.BadGateway
}

private const val KEY_RETRY_MS = 1000L

private fun NotRunReason.status(): HttpStatusCode = when (this) {
    NotRunReason.OVERLOADED, NotRunReason.DISPLACED -> HttpStatusCode.TooManyRequests
    NotRunReason.UNKNOWN_SERVICE -> HttpStatusCode.NotFound
    NotRunReason.REQUEST_TOO_LARGE -> HttpStatusCode.PayloadTooLarge
    NotRunReason.KEY_IN_PROGRESS -> HttpStatusCode.Conflict
    NotRunReason.KEY_REUSED -> HttpStatusCode.UnprocessableEntity
    else -> HttpStatusCode.ServiceUnavailable
}

private fun NotRunReason.title(): String = when (this) {
    NotRunReason.OVERLOADED -> "The service's queue is full."
    NotRunReason.DEADLINE_TOO_SHORT -> "The request cannot be answered by its deadline."
    NotRunReason.DISPLACED -> "A more urgent request took the place in the queue."
    NotRunReason.NO_TARGET -> "The service has no target that may be given work."
    NotRunReason.UNKNOWN_SERVICE -> "The service is not known."
    NotRunReason.REQUEST_TOO_LARGE -> "The body is larger than the service's settings allow."
    NotRunReason.SETTINGS_LEASE_EXPIRED -> "The daemon is cut off from the control group."
    NotRunReason.STOPPING -> "The daemon is stopping."
    NotRunReason.REFUSED_BY_TARGET -> "The target did not run the request."
    NotRunReason.TARGET_UNREACHABLE -> "No connection to a target could be opened in time."
    NotRunReason.CANCELLED -> "The caller went away before the request was sent."
    NotRunReason.KEY_REUSED -> "The idempotency key was used with a different request."
    NotRunReason.KEY_IN_PROGRESS -> "The first request with this idempotency key is still in progress."
}

private fun String.kebab(): String = lowercase().replace('_', '-')
