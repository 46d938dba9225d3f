package org.auburnstream.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Final result of a caller's request; every request gets exactly one. */
public sealed interface Outcome<out A> {
    /** The target's whole answer. */
    public data class Answered<out A>(val answer: A) : Outcome<A>

    /** No part of the request reached a target's handler, or the target itself said that it did not run it. */
    public data class NotRun(val reason: NotRunReason, val retryAfter: Duration) : Outcome<Nothing>

    /** The request may have run; its answer is lost. */
    public data class Unknown(val reason: UnknownReason) : Outcome<Nothing>
}

/** Why a request was not run. */
@Serializable
public enum class NotRunReason {
    /** The service's queue is full or its share is used up. */
    OVERLOADED,

    /** The request could not have been answered by its deadline. */
    DEADLINE_TOO_SHORT,

    /** A more urgent request took the place in the queue. */
    DISPLACED,

    /** The service has no target that may be given work. */
    NO_TARGET,

    /** The service is not known under the settings in force. */
    UNKNOWN_SERVICE,

    /** The request exceeds the largest size that the service's settings allow. */
    REQUEST_TOO_LARGE,

    /** The daemon's settings lease has run out. */
    SETTINGS_LEASE_EXPIRED,

    /** The daemon is stopping. */
    STOPPING,

    /** The target answered that it did not run the request. */
    REFUSED_BY_TARGET,

    /** No connection to a target could be opened in time. */
    TARGET_UNREACHABLE,

    /** The caller went away before the request was sent. */
    CANCELLED,

    /** The idempotency key was used with a different request. */
    KEY_REUSED,

    /** The first request with this idempotency key is still in progress. */
    KEY_IN_PROGRESS,
}

/** Why the outcome of a request is unknown. */
@Serializable
public enum class UnknownReason {
    /** The connection to the target ended before the whole answer arrived. */
    CONNECTION_LOST,

    /** The deadline passed after the request was sent. */
    DEADLINE_EXCEEDED,

    /** The target's answer broke the protocol. */
    MALFORMED_ANSWER,

    /** The idempotency key could not be looked up: nothing was sent now, but an earlier request may have run. */
    KEY_NOT_RECORDED,

    /** The request ran and its answer was given once, but was too large to keep. */
    ANSWER_NOT_KEPT,

    /** The daemon that sent the request ended before it recorded the answer. */
    SENDER_LOST,
}
