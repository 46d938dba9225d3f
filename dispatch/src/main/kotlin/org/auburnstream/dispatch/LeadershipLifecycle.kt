package org.auburnstream.dispatch

import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Begins and ends the [Leadership] of a process in step with the status of its replica.
 *
 * [update] compares the leadership with the latest status instead of following each change, and is called periodically
 * besides. A change that was missed, or whose handling failed, therefore has no lasting effect. A replica that leads
 * while no leadership can begin hands its role over, because nothing is scheduled meanwhile.
 *
 * @property status returns the latest status of the replica.
 * @property awaitBarrier reports whether a read barrier has shown that all committed entries are applied.
 * @property create creates the leadership of a term, once for each term.
 * @property stepDown asks the replica to hand its role over to another one.
 * @property onFatal called with the reason when the process leads and can neither schedule nor step down.
 */
internal class LeadershipLifecycle(
    private val status: () -> ReplicaStatus,
    private val clock: () -> MonotonicTime,
    private val awaitBarrier: (done: (Boolean) -> Unit) -> Unit,
    private val create: (term: Long) -> Leadership,
    private val stepDown: () -> Unit,
    private val onFatal: (String) -> Unit,
) {
    private val log = LineLog("control")
    private var latest: Leadership? = null
    private var isStopped = false

    /** Term in which a barrier was requested or a leadership was begun; neither is repeated within the term. */
    private var preparedTerm = 0L
    private var idleTerm: IdleTerm? = null

    /** Leadership of the current term, or null if this process does not schedule. */
    val current: Leadership?
        get() = latest?.takeIf(::isInForce)

    /**
     * The progress that is missing for longest while the replica leads, or null.
     *
     * It covers a replica that leads without a leadership, and a leadership that does not decide or commit.
     */
    val stall: Stall?
        get() = idleTerm?.let { Stall("not_begun", it.since) } ?: current?.stall

    /** Whether the replica leads in [term] according to its latest status. */
    fun leadsIn(term: Long): Boolean = status().let { it.role == ReplicaRole.LEADER && it.term == term }

    private fun isInForce(leadership: Leadership): Boolean = !leadership.hasEnded && leadsIn(leadership.term)

    /** Ends a leadership whose term is over, begins one in a new term, and steps down if that takes too long. */
    fun update() {
        val status = status()
        val outdated = latest?.takeUnless(::isInForce)
        if (outdated != null) end(outdated.term, "role ${status.role} in term ${status.term}")
        val mayBegin = status.role == ReplicaRole.LEADER && latest == null && !isStopped
        if (mayBegin && preparedTerm != status.term) prepare(status.term)
        checkIdleTerm(status.term.takeIf { mayBegin })
    }

    /** Ends the leadership of [term], if there is one; no other begins in this term. */
    fun end(term: Long, cause: String) {
        val ended = latest?.takeIf { it.term == term } ?: return
        latest = null
        log.note("leadership_ended", "term" to term, "cause" to cause)
        ended.end()
    }

    /** Ends the leadership of [term] after an error; its state is no basis for decisions, so another term begins. */
    fun fail(term: Long, cause: String) {
        end(term, cause)
        if (leadsIn(term)) stepDown()
    }

    /** Ends the leadership for good. */
    fun stop() {
        isStopped = true
        latest?.let { end(it.term, "stop") }
    }

    private fun prepare(term: Long) {
        preparedTerm = term
        val since = clock()
        awaitBarrier { isReached ->
            if (!isReached) {
                val waited = clock() - since
                log.note("barrier_not_reached", "term" to term, "waited_ms" to waited.inWholeMilliseconds)
            }
            if (isStopped || !leadsIn(term) || latest != null) return@awaitBarrier
            if (isReached) begin(term) else preparedTerm = 0
        }
    }

    private fun begin(term: Long) {
        try {
            latest = create(term)
        } catch (e: Exception) {
            log.note("leadership_failed", "term" to term, "cause" to e)
            stepDown()
        }
    }

    /** Tracks for how long the replica has led in [term] without a leadership; null means that it does not. */
    private fun checkIdleTerm(term: Long?) {
        val now = clock()
        val idle = idleTerm?.takeIf { it.term == term } ?: term?.let { IdleTerm(it, now) }
        idleTerm = idle
        if (idle == null) return
        val duration = now - idle.since
        if (duration > MAX_IDLE_TIME) return onFatal("led in term ${idle.term} for $duration and scheduled nothing")
        if (duration <= STEP_DOWN_TIME || idle.hasSteppedDown) return
        idle.hasSteppedDown = true
        log.note("leadership_not_begun", "term" to idle.term, "waited_ms" to duration.inWholeMilliseconds)
        stepDown()
    }

    private class IdleTerm(val term: Long, val since: MonotonicTime) {
        var hasSteppedDown = false
    }

    private companion object {
        /** Several times the duration of a read barrier on a slow disk. */
        val STEP_DOWN_TIME: Duration = 5.seconds

        /** Longer than a disk stalls; a leader that is still idle then cannot step down either. */
        val MAX_IDLE_TIME: Duration = 25.seconds
    }
}
