package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.UnknownReason
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId

/** A request that has no final answer yet. */
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

    /** Target of the exchange in progress, or null while the request waits. */
    var target: Target? = null
        private set
    val triedVms: MutableSet<VmId> = HashSet(2)

    /** Why an earlier attempt may have run the request, or null while that is ruled out. */
    var unknownReason: UnknownReason? = null

    /** Whether the caller is gone, so that nobody waits for the result. */
    var abandoned: Boolean = false

    /** Whether the request may be lost without harm at a target that may still be failing. */
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
