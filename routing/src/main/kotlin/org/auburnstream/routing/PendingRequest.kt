package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId

/** Request that has no final result yet, with the state of its attempts. */
internal class PendingRequest(arrival: RoutingInput.RequestArrived, val arrivedAt: MonotonicTime) {
    val ticket: Ticket = arrival.ticket
    val service: ServiceId = arrival.service
    val team: TeamId = arrival.team
    val urgency: Urgency = arrival.urgency
    val deadline: MonotonicTime = arrival.deadline
    val idempotent: Boolean = arrival.idempotent
    val bytes: Int = arrival.bytes

    var attempt: Attempt = Attempt.None
        private set
    var sentAt: MonotonicTime = arrivedAt
        private set

    /** Target of the exchange in progress, or null while the request is queued. */
    var target: Target? = null
        private set
    val triedVms: MutableSet<VmId> = HashSet(2)

    /** Reason why an earlier attempt may have run the request, or null if no attempt can have run it. */
    var unknownReason: UnknownReason? = null

    /** Whether the caller disconnected, so that the result is discarded. */
    var abandoned: Boolean = false

    /** Whether the request may probe an ejected target: idempotent and unsent, so its loss does no harm. */
    val mayProbe: Boolean get() = idempotent && attempt == Attempt.None

    fun markSent(newTarget: Target, now: MonotonicTime) {
        attempt = attempt.next()
        sentAt = now
        target = newTarget
        triedVms += newTarget.vm
    }

    fun markExchangeEnded() {
        target = null
    }
}
