package org.auburnstream.routing

import org.auburnstream.model.TeamId

/** Waiting requests of one urgency class; the teams take turns. */
internal class UrgencyClassQueue {
    private val teams = LinkedHashMap<TeamId, ArrayDeque<PendingRequest>>()

    var size: Int = 0
        private set

    /** Position in the stride schedule of the classes. */
    var pass: Double = 0.0

    fun size(team: TeamId): Int = teams[team]?.size ?: 0

    val teamCount: Int get() = teams.size

    fun add(request: PendingRequest) {
        teams.getOrPut(request.team, ::ArrayDeque).addLast(request)
        size++
    }

    /** Puts back a request that waited before and is tried again. */
    fun addFirst(request: PendingRequest) {
        teams.getOrPut(request.team, ::ArrayDeque).addFirst(request)
        size++
    }

    /** First waiting request of each team, in the order of their turns. */
    fun heads(): Sequence<PendingRequest> = teams.values.asSequence().map { it.first() }

    /** Takes [request] out and moves its team to the end of the turn. */
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

    /** The newest request of the team with the most waiting requests, or null if nothing waits. */
    fun newestOfLargestTeam(): PendingRequest? = teams.values.maxByOrNull { it.size }?.last()

    fun largestTeamSize(): Int = teams.values.maxOfOrNull { it.size } ?: 0

    fun all(): Sequence<PendingRequest> = teams.values.asSequence().flatten()
}
