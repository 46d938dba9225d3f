package org.auburnstream.daemon.replication

import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.RaftRole
import org.auburnstream.consensus.Replica
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime

/**
 * Routes calls made on this daemon to the group's leader, which may be the local replica or another daemon.
 *
 * Calls are queued while no leader is known. A request that changes state is resent only to the same leader in the same
 * term, because that leader recognizes duplicates; it is therefore executed at most once. A request without side
 * effects may be sent to the next leader. A call bound to a term is executed by the local replica or rejected; it is
 * never queued or forwarded.
 */
internal class CallForwarder(
    private val configuration: GroupConfiguration,
    private val replica: Replica,
    private val requests: LeaderRequests,
    private val processId: Long,
    private val appliedIndex: () -> LogIndex,
    private val send: (DaemonId, GroupMessage) -> Unit,
) {
    private val waiting = ArrayDeque<PendingCall>()
    private val forwarded = LinkedHashMap<Long, ForwardedCall>()
    private val pendingReads = ArrayList<PendingRead>()
    private var lastCorrelation = 0L
    private var nextTick = MonotonicTime.Zero

    /** Time at which [tick] is due, or null if no forwarded request awaits a reply. */
    val deadline: MonotonicTime?
        get() = nextTick.takeIf { forwarded.isNotEmpty() }

    fun accept(call: PendingCall, now: MonotonicTime) {
        if (call.term != null) return executeInTerm(call, call.term)
        if (waiting.size >= configuration.maxWaitingCalls) {
            waiting.removeAll { it.isFinished }
            if (waiting.size >= configuration.maxWaitingCalls) {
                return call.complete(ReplyBody.Rejected(RejectReason.OVERLOADED))
            }
        }
        waiting.addLast(call)
        dispatchWaiting(now)
    }

    /** Dispatches the queued calls if a leader is known. */
    fun dispatchWaiting(now: MonotonicTime) {
        repeat(waiting.size) {
            val leader = replica.leader ?: return
            val call = waiting.removeFirstOrNull() ?: return
            if (!call.isFinished && call.state.markSent()) dispatch(call, leader, now)
        }
    }

    /**
     * Resends requests without a timely reply.
     *
     * A request is resent to the same leader in the same term. After a change of either, a request without side effects
     * is queued for the next leader, and any other one is kept until its reply or its caller's timeout.
     */
    fun tick(now: MonotonicTime) {
        nextTick = now + configuration.resendInterval / TICKS_PER_RESEND
        forwarded.values.removeIf { it.call.isFinished }
        pendingReads.removeAll { it.call.isFinished }
        val overdue = forwarded.entries.filter { now - it.value.sentAt >= configuration.resendInterval }
        for ((correlation, forward) in overdue) {
            forward.sentAt = now
            val sameLeader = replica.leader == forward.leader && replica.term == forward.term
            when {
                sameLeader -> sendRequest(correlation, forward)
                !forward.call.body.isAtMostOnce -> {
                    forwarded.remove(correlation)
                    waiting.addLast(forward.call)
                }
            }
        }
        dispatchWaiting(now)
    }

    fun onReply(reply: GroupMessage.Reply) {
        if (reply.processId != processId) return
        val forward = forwarded.remove(reply.correlation) ?: return
        if (reply.body != ReplyBody.NotLeader) return finish(forward.call, reply.body)
        // The same leader may have executed an earlier copy before it lost leadership.
        if (forward.call.body.isAtMostOnce) return forward.call.complete(ReplyBody.Unknown)
        forward.call.state.markUnsent()
        waiting.addLast(forward.call)
    }

    /** Completes the reads whose read index is at most [index]. */
    fun onApplied(index: LogIndex) {
        if (pendingReads.isEmpty()) return
        val ready = pendingReads.filter { it.index <= index }
        ready.forEach { it.call.complete(ReplyBody.ReadAt(index)) }
        pendingReads.removeAll(ready)
    }

    /** Completes all open calls when the replica stops. */
    fun abandonAll() {
        val stopped = ReplyBody.Rejected(RejectReason.STOPPED)
        waiting.forEach { it.complete(stopped) }
        pendingReads.forEach { it.call.complete(stopped) }
        forwarded.values.forEach { it.call.complete(if (it.call.body.isAtMostOnce) ReplyBody.Unknown else stopped) }
    }

    private fun executeInTerm(call: PendingCall, term: Long) {
        val refusal = ReplyBody.Rejected(RejectReason.NOT_LEADING)
        val leads = replica.role == RaftRole.LEADER && replica.term == term
        if (!leads) return call.complete(refusal)
        if (call.isFinished || !call.state.markSent()) return
        // The replica may step down before it appends the entry, but it cannot start another term in between.
        requests.execute(call.body) { call.complete(if (it == ReplyBody.NotLeader) refusal else it) }
    }

    private fun dispatch(call: PendingCall, leader: MemberId, now: MonotonicTime) {
        if (replica.role == RaftRole.LEADER) return requests.execute(call.body) { finishLocal(call, it) }
        if (forwarded.isEmpty()) nextTick = now + configuration.resendInterval
        lastCorrelation += 1
        val forward = ForwardedCall(call, leader, replica.term, now)
        forwarded[lastCorrelation] = forward
        sendRequest(lastCorrelation, forward)
    }

    private fun finishLocal(call: PendingCall, reply: ReplyBody) {
        if (reply != ReplyBody.NotLeader) return finish(call, reply)
        // The local replica rejected the request before executing it, so it is safe to retry.
        call.state.markUnsent()
        waiting.addLast(call)
    }

    private fun finish(call: PendingCall, reply: ReplyBody) {
        if (reply !is ReplyBody.ReadAt) return call.complete(reply)
        pendingReads.add(PendingRead(call, reply.index))
        onApplied(appliedIndex())
    }

    private fun sendRequest(correlation: Long, forward: ForwardedCall) {
        val request = GroupMessage.Request(
            group = configuration.id,
            processId = processId,
            correlation = correlation,
            // Correlations increase, so the first open request has the lowest one.
            settledBelow = forwarded.keys.first(),
            term = forward.term,
            body = forward.call.body,
        )
        send(forward.leader.daemon, request)
    }

    private companion object {
        const val TICKS_PER_RESEND = 2
    }

    private class ForwardedCall(val call: PendingCall, val leader: MemberId, val term: Long, var sentAt: MonotonicTime)

    private class PendingRead(val call: PendingCall, val index: LogIndex)
}
