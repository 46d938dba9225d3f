package org.auburnstream.routing

import org.auburnstream.model.Urgency

/**
 * Bounded queue of one service.
 *
 * Urgency classes share the slots by stride scheduling (Waldspurger and Weihl, 1995): an urgent request starts
 * before the others while its class has used less than its share. A full queue makes room only at the cost of a
 * class, and inside a class of a team, that holds more than its part.
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

    /** Adds [request] if the queue has room for it in [limitBytes], displacing others if its class may. */
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

    /** Puts back a request that is tried again; it keeps its turn, and the bound was checked when it arrived. */
    fun requeue(request: PendingRequest): Unit = insert(request, UrgencyClassQueue::addFirst)

    /** Requests that may start next, best first: the first of each team, by class. */
    fun candidates(): Sequence<PendingRequest> = mostUrgentFirst
        .map { classes.getValue(it) }
        .filter { it.size > 0 }
        .sortedBy { it.pass }
        .asSequence()
        .flatMap { it.heads() }

    /** Takes out a [request] that starts now. */
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

    /** Number of requests that start before a new one like [request], seen from the shares of classes and teams. */
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

    /** The request that has to make room for [request], or null if its class and team already have their part. */
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

/** What became of a request that asked for a place in a queue. */
internal sealed interface OfferResult {
    /** It waits; those in [displaced] lost their places to it. */
    data class Queued(val displaced: List<PendingRequest>) : OfferResult

    data object Full : OfferResult
}
