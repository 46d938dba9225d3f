package org.auburnstream.routing

import org.auburnstream.model.TeamId

/** Queue of the requests of one urgency class that serves the teams in round-robin order. */
internal class UrgencyClassQueue {
    private val teams = LinkedHashMap<TeamId, ArrayDeque<PendingRequest>>()

    var size: Int = 0
        private set

    /** Pass value of this class in the stride scheduling of [ServiceQueue]. */
    var pass: Double = 0.0

    fun size(team: TeamId): Int = teams[team]?.size ?: 0

    val teamCount: Int get() = teams.size

    fun add(request: PendingRequest) {
        teams.getOrPut(request.team, ::ArrayDeque).addLast(request)
        size++
    }

    /** Adds [request] at the head of its team's queue, for a retry of a request that was already dequeued. */
    fun addFirst(request: PendingRequest) {
        teams.getOrPut(request.team, ::ArrayDeque).addFirst(request)
        size++
    }

    /** Returns the oldest queued request of each team, in round-robin order. */
    fun heads(): Sequence<PendingRequest> = teams.values.asSequence().map { it.first() }

    /** Removes [request] and moves its team to the end of the round-robin order. */
    fun dequeue(request: PendingRequest) {
        remove(request)
        val remaining = teams.remove(request.team) ?: return
        teams[request.team] = remaining
    }

    fun remove(request: PendingRequest): Boolean {
        val queue = teams[request.team] ?: return false
        val found = if (queue.first() === request) queue.removeFirst() === request else queue.remove(request)
        if (!found) return false
        if (queue.isEmpty()) teams.remove(request.team)
        size--
        return true
    }

    /** Returns the newest request of the team with the most queued requests, or null if the queue is empty. */
    fun newestOfLargestTeam(): PendingRequest? = teams.values.maxByOrNull { it.size }?.last()

    fun largestTeamSize(): Int = teams.values.maxOfOrNull { it.size } ?: 0

    fun all(): Sequence<PendingRequest> = teams.values.asSequence().flatten()
}
