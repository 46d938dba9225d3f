package org.auburnstream.routing

import org.auburnstream.model.Urgency

/**
 * Bounded queue of one service with urgency classes and fair sharing among teams.
 *
 * The urgency classes share the slots by stride scheduling (Waldspurger and Weihl, 1995): an urgent request starts
 * before others while its class has used less than its share. A full queue displaces a request only from a class
 * that exceeds its reserve or, inside a class, from the team with the most queued requests.
 */
internal class ServiceQueue(private val policy: ServicePolicy) {
    private val classes = Urgency.entries.associateWith { UrgencyClassQueue() }
    private val mostUrgentFirst = Urgency.entries.sortedDescending()
    private var virtualTime = 0.0

    var size: Int = 0
        private set
    var bytes: Long = 0
        private set

    fun size(urgency: Urgency): Int = classes.getValue(urgency).size

    /** Adds [request] if it fits into the capacity and [limitBytes]; may displace other queued requests. */
    fun offer(request: PendingRequest, limitBytes: Long): OfferResult {
        if (request.bytes > limitBytes) return OfferResult.Full
        val displaced = mutableListOf<PendingRequest>()
        while (size >= policy.queueCapacity || bytes + request.bytes > limitBytes) {
            val victim = victim(request)
            if (victim == null || displaced.size == MAX_DISPLACED) {
                displaced.asReversed().forEach { insert(it, UrgencyClassQueue::add) }
                return OfferResult.Full
            }
            remove(victim)
            displaced += victim
        }
        insert(request, UrgencyClassQueue::add)
        return OfferResult.Queued(displaced)
    }

    /**
     * Adds [request] at the head of its team's queue for a retry.
     *
     * The capacity is not checked again; it was checked when the request arrived.
     */
    fun requeue(request: PendingRequest): Unit = insert(request, UrgencyClassQueue::addFirst)

    /** Returns the requests that may start next in order of preference: the oldest of each team, by class. */
    fun candidates(): Sequence<PendingRequest> = mostUrgentFirst
        .map { classes.getValue(it) }
        .filter { it.size > 0 }
        .sortedBy { it.pass }
        .asSequence()
        .flatMap { it.heads() }

    /** Removes [request], which starts now, and charges its class for the slot. */
    fun dequeue(request: PendingRequest) {
        val queue = classes.getValue(request.urgency)
        queue.dequeue(request)
        subtractFromTotals(request)
        virtualTime = queue.pass
        queue.pass += 1.0 / weight(request.urgency)
    }

    fun remove(request: PendingRequest): Boolean {
        if (!classes.getValue(request.urgency).remove(request)) return false
        subtractFromTotals(request)
        return true
    }

    fun all(): Sequence<PendingRequest> = classes.values.asSequence().flatMap { it.all() }

    /** Estimates how many queued requests start before [request] if it were added, from the class and team shares. */
    fun countAhead(request: PendingRequest): Int {
        val own = classes.getValue(request.urgency)
        val turns = (own.size(request.team) + 1) * (own.teamCount + if (own.size(request.team) == 0) 1 else 0)
        val ownAhead = minOf(own.size, turns)
        val others = classes.filter { it.key != request.urgency && it.value.size > 0 }
        val share = others.keys.sumOf { weight(it) }.toDouble() / weight(request.urgency)
        val othersAhead = others.values.sumOf { it.size }
        return ownAhead + minOf(othersAhead, ((ownAhead + 1) * share).toInt())
    }

    private fun insert(request: PendingRequest, add: UrgencyClassQueue.(PendingRequest) -> Unit) {
        val queue = classes.getValue(request.urgency)
        if (queue.size == 0) queue.pass = maxOf(queue.pass, virtualTime)
        queue.add(request)
        size++
        bytes += request.bytes
    }

    private fun subtractFromTotals(request: PendingRequest) {
        size--
        bytes -= request.bytes
    }

    /** Returns the request to displace for [request], or null if its class and team already use their share. */
    private fun victim(request: PendingRequest): PendingRequest? {
        val belowReserve = size(request.urgency) < reserve(request.urgency)
        val victimClass =
            Urgency.entries.firstOrNull {
                it != request.urgency && (it < request.urgency || belowReserve) && size(it) > reserve(it)
            }
        if (victimClass != null) return classes.getValue(victimClass).newestOfLargestTeam()
        val own = classes.getValue(request.urgency)
        return if (own.largestTeamSize() > own.size(request.team) + 1) own.newestOfLargestTeam() else null
    }

    private fun reserve(urgency: Urgency): Int = ((policy.classReserves[urgency] ?: 0.0) * policy.queueCapacity).toInt()

    private fun weight(urgency: Urgency): Int = (policy.classWeights[urgency] ?: 1).coerceAtLeast(1)

    private companion object {
        const val MAX_DISPLACED = 64
    }
}

/** Result of adding a request to a [ServiceQueue]. */
internal sealed interface OfferResult {
    /** The request was added; the requests in [displaced] were removed to make space. */
    data class Queued(val displaced: List<PendingRequest>) : OfferResult

    /** The request was not added. */
    data object Full : OfferResult
}
