package org.auburnstream.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Final result of a caller's request; each request has exactly one outcome. */
public sealed interface Outcome<out A> {
    /** The target sent a complete answer. */
    public data class Answered<out A>(val answer: A) : Outcome<A>

    /** The request did not reach a target's handler, or the target reported that it did not run the request. */
    public data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : Outcome<Nothing>

    /** The request may have run, but no answer is available. */
    public data class Unknown(val reason: UnknownReason) : Outcome<Nothing>
}

/** Reason why a request was not run. */
@Serializable
public enum class NotRunReason {
    /** The service's queue is full, or the share of the queue that applies to the request is used up. */
    OVERLOADED,

    /** The request could not have been answered by its deadline. */
    DEADLINE_TOO_SHORT,

    /** A more urgent request displaced the request from the queue. */
    DISPLACED,

    /** The service has no target that can accept requests. */
    NO_TARGET,

    /** The current settings do not define the service. */
    UNKNOWN_SERVICE,

    /** The request exceeds the maximum size in the service's settings. */
    REQUEST_TOO_LARGE,

    /** The daemon's settings lease has expired. */
    SETTINGS_LEASE_EXPIRED,

    /** The daemon is stopping. */
    STOPPING,

    /** The target answered that it did not run the request. */
    REFUSED_BY_TARGET,

    /** No connection to a target could be opened in time. */
    TARGET_UNREACHABLE,

    /** The caller disconnected before the request was sent. */
    CANCELLED,

    /** The idempotency key was used with a different request. */
    KEY_REUSED,

    /** The first request with this idempotency key is still in progress. */
    KEY_IN_PROGRESS,
}

/** Reason why the outcome of a request is unknown. */
@Serializable
public enum class UnknownReason {
    /** The connection to the target closed before the complete answer arrived. */
    CONNECTION_LOST,

    /** The deadline passed after the request was sent. */
    DEADLINE_EXCEEDED,

    /** The target's answer violated the protocol. */
    MALFORMED_ANSWER,

    /** The idempotency key could not be looked up. Nothing was sent, but an earlier request may have run. */
    KEY_NOT_RECORDED,

    /** The request ran and its answer was returned once, but the answer was too large to store for retries. */
    ANSWER_NOT_KEPT,

    /** The daemon that sent the request terminated before it recorded the answer. */
    SENDER_LOST,
}
