package org.auburnstream.dispatch

import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.scheduling.Action
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState

/** Carries orders to workers, to the advice service and to the platform, and brings back their answers. */
public fun interface Gateway {
    /**
     * Carries out [action] under the fencing token [fence].
     *
     * @param answered gets the answer, or the event that says that there was none; called once, later.
     */
    public fun carryOut(action: Action, fence: Long, answered: (Event) -> Unit)
}

/** Serves requests of callers, workers and operators at the leader. */
public interface RequestHandler {
    /**
     * Serves [request], which arrived at [listener], through [leader].
     *
     * @param respond gets the answer once, or null if the leadership ended before the fate of the request was known.
     */
    public fun handle(
        listener: ListenerKind,
        request: HttpRequest,
        leader: LeaderAccess,
        respond: (HttpResponse?) -> Unit,
    )

    /** Answer when the request certainly was not run because no process leads at present. */
    public fun noLeader(listener: ListenerKind, request: HttpRequest): HttpResponse

    /** Answer when it is not known whether the request was run. */
    public fun unknown(listener: ListenerKind, request: HttpRequest): HttpResponse

    /** Whether [request] can be handed in again without any further effect. */
    public fun isRepeatable(listener: ListenerKind, request: HttpRequest): Boolean

    /** Time that the caller of [request] waits for the answer, in milliseconds, or null if it does not say. */
    public fun patienceMs(request: HttpRequest): Long?
}

/** Kind of the listener at which a request arrived. */
public enum class ListenerKind {
    /** Callers that hand in jobs. */
    CALLERS,

    /** Workers and operators. */
    CONTROL,

    /** Operators of the product's own interface. */
    OPERATORS,
}

/** What a [RequestHandler] may do at the leader. */
public interface LeaderAccess {
    /** Address of the leader's listener for workers and operators, as `host:port`. */
    public val controlAddress: String

    /** Latest state that this process has applied; good enough to choose a queue for an order. */
    public val state: SchedulerState

    /** Passes the event that [event] makes to the coordinator; [reply] gets the answer to its call. */
    public fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit)

    /** Passes the state to [use] once a quorum has confirmed that nothing newer is committed, or null if none does. */
    public fun read(use: (SchedulerState?) -> Unit)
}
