package org.auburnstream.dispatch

import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reason why a request got no answer from the leader. */
internal enum class GiveUpCause(val label: String) {
    /** No leader was connected, its link took no request, or no time was left to send it; it was not run. */
    NO_LEADER("no_leader"),

    /** The process that leads answered that it does not serve; the request was not run. */
    LEADER_IDLE("leader_idle"),

    /** An attempt was sent and its outcome is not known, so the request may have been run. */
    NO_ANSWER("no_answer"),
}

/**
 * Forwards one request to the current leader, and follows changes of the leader.
 *
 * Sends a repeatable request again when a lost link or a change of the leader loses its answer, so that the caller does
 * not notice the change. A request that cannot have run is given up after [LEADER_WAIT] without a leader that serves,
 * in which most elections end, or at once when [outage] is known to last. Exactly one of [onAnswer] and [onGiveUp] is
 * called, once.
 *
 * @property since time at which the request arrived.
 * @property timeout time that the caller waits for the answer.
 * @property isRepeatable whether the request may be sent again after an attempt whose outcome is not known.
 * @property hasEffects whether running the request changes anything; one that changes nothing is refused as not run
 *   although an attempt may have reached a leader.
 * @property outage what the process knows about the absence of a leader, shared by all its requests.
 * @property schedule runs a block after a delay.
 * @property isClosed whether answers no longer reach callers.
 * @property connectedLeader returns the known leader if there is a link to it.
 * @property call sends the request to a process and passes on the encoded reply, or null if none arrives in time;
 *   returns false if the request was certainly not sent.
 */
internal class Forwarding(
    private val since: MonotonicTime,
    private val timeout: Duration,
    private val isRepeatable: Boolean,
    private val clock: () -> MonotonicTime,
    private val schedule: (delay: Duration, block: () -> Unit) -> Unit,
    private val isClosed: () -> Boolean,
    private val connectedLeader: () -> DaemonId?,
    private val call: (leader: DaemonId, timeout: Duration, done: (ByteArray?) -> Unit) -> Boolean,
    private val onAnswer: (HttpResponse) -> Unit,
    private val onGiveUp: (GiveUpCause) -> Unit,
    private val hasEffects: Boolean = true,
    private val outage: LeaderOutage = LeaderOutage(),
) {
    private var mayHaveRun = false

    /** End of the first attempt that found no serving leader; kept, because an idle leader is found time and again. */
    private var leaderlessSince: MonotonicTime? = null
    private var lastCause = GiveUpCause.NO_LEADER

    /** Sends the request to the leader, or waits for a leader if there is none. */
    fun attempt() {
        val left = timeLeft()
        if (left <= Duration.ZERO || isClosed()) return giveUp()
        val leader = connectedLeader() ?: return awaitLeader(GiveUpCause.NO_LEADER)
        val sentAt = clock()
        val isSent = call(leader, minOf(left, ATTEMPT_TIMEOUT)) { onReply(it, sentAt) }
        if (!isSent) awaitLeader(GiveUpCause.NO_LEADER)
    }

    private fun timeLeft(): Duration = timeout - (clock() - since) - ANSWER_MARGIN

    private fun onReply(bytes: ByteArray?, sentAt: MonotonicTime) {
        val reply = bytes?.let(Messages::reply)
        val response = reply?.response
        when {
            response != null && response.status != HTTP_UNKNOWN -> {
                outage.served()
                onAnswer(response)
            }
            reply != null && response == null -> awaitLeader(GiveUpCause.LEADER_IDLE)
            else -> {
                if (hasEffects) mayHaveRun = true
                if (bytes == null) outage.unanswered(sentAt)
                if (isRepeatable) awaitLeader(GiveUpCause.NO_ANSWER) else giveUp()
            }
        }
    }

    /** Schedules the next attempt, or gives up if the wait for a leader or the caller's timeout ends before it. */
    private fun awaitLeader(cause: GiveUpCause) {
        lastCause = cause
        val now = clock()
        when (cause) {
            GiveUpCause.NO_LEADER -> outage.missing(now)
            GiveUpCause.LEADER_IDLE -> outage.idle(now)
            GiveUpCause.NO_ANSWER -> Unit
        }
        val leaderlessAt = leaderlessSince ?: now.also { leaderlessSince = it }
        val isKnownToLast = cause != GiveUpCause.NO_ANSWER && !outage.mayEndSoon(now)
        val isWaitOver = !mayHaveRun && (isKnownToLast || now - leaderlessAt >= LEADER_WAIT)
        if (isWaitOver || timeLeft() <= LEADER_CHECK_INTERVAL) return giveUp()
        schedule(LEADER_CHECK_INTERVAL, ::attempt)
    }

    private fun giveUp() = onGiveUp(if (mayHaveRun) GiveUpCause.NO_ANSWER else lastCause)

    private companion object {
        const val HTTP_UNKNOWN = 504

        /** An election takes one to two seconds; a caller that is refused and retries would wait longer. */
        val LEADER_WAIT: Duration = 1_500.milliseconds

        /** Time after which an unanswered request is sent again; a few times the commit time on a slow disk. */
        val ATTEMPT_TIMEOUT: Duration = 1_000.milliseconds
        val LEADER_CHECK_INTERVAL: Duration = 50.milliseconds

        /** Time reserved for the answer to reach the caller. */
        val ANSWER_MARGIN: Duration = 100.milliseconds
    }
}
