package org.auburnstream.dispatch

import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Begins and ends the [Leadership] of a process in step with the status of its replica.
 *
 * [update] compares the leadership with the latest status instead of following each change, and is called periodically
 * besides. A change that was missed, or whose handling failed, therefore has no lasting effect.
 *
 * A leader owes progress: it has to begin, to tick, and to commit what it proposes. One that does not hands its role
 * over, whichever of its parts has failed, because other processes cannot tell it from a leader that works as long as
 * its replica answers heartbeats.
 *
 * @property status returns the latest status of the replica.
 * @property awaitBarrier reports whether a read barrier has shown that all committed entries are applied.
 * @property create creates the leadership of a term, once for each term.
 * @property stepDown asks the replica to hand its role over to another one; the request may have no effect.
 * @property onFatal called with the reason when the process leads and can neither schedule nor step down.
 * @property resumedAt returns when the process was last resumed after a suspension, or null if it never was.
 */
internal class LeadershipLifecycle(
    private val status: () -> ReplicaStatus,
    private val clock: () -> MonotonicTime,
    private val awaitBarrier: (done: (Boolean) -> Unit) -> Unit,
    private val create: (term: Long) -> Leadership,
    private val stepDown: () -> Unit,
    private val onFatal: (String) -> Unit,
    private val resumedAt: () -> MonotonicTime? = { null },
) {
    private val log = LineLog("control")
    private var latest: Leadership? = null
    private var isStopped = false

    private var ledTerm: LedTerm? = null
    private var failures = 0
    private var lastFailureAt: MonotonicTime? = null

    /** Leadership of the current term, or null if this process does not schedule. */
    val current: Leadership?
        get() = latest?.takeIf(::isInForce)

    /**
     * The progress that is missing for longest while the replica leads, or null.
     *
     * It covers a replica that leads without a leadership, and a leadership that does not decide or commit.
     */
    val stall: Stall?
        get() = stalls.minByOrNull { it.since.nanoseconds }

    private val stalls: List<Stall>
        get() = ledTerm?.idleSince?.let { listOf(Stall("not_begun", it)) } ?: current?.stalls.orEmpty()

    /** Whether the replica leads in [term] according to its latest status. */
    fun leadsIn(term: Long): Boolean = status().let { it.role == ReplicaRole.LEADER && it.term == term }

    private fun isInForce(leadership: Leadership): Boolean = !leadership.hasEnded && leadsIn(leadership.term)

    /** Ends a leadership whose term is over, begins one in a new term, and steps down without progress. */
    fun update() {
        val status = status()
        val outdated = latest?.takeUnless(::isInForce)
        if (outdated != null) end(outdated.term, "role ${status.role} in term ${status.term}")
        val term = status.term.takeIf { status.role == ReplicaRole.LEADER && !isStopped }
        ledTerm = ledTerm?.takeIf { it.number == term } ?: term?.let(::LedTerm)
        val led = ledTerm ?: return
        if (latest == null) awaitBeginning(led)
        checkProgress(led)
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
        stepDownAfterFailure(term)
    }

    /** Ends the leadership for good. */
    fun stop() {
        isStopped = true
        latest?.let { end(it.term, "stop") }
    }

    private fun awaitBeginning(led: LedTerm) {
        if (led.idleSince == null) led.idleSince = clock()
        // A barrier has a timeout, so one that is not answered by then has been lost.
        val isLost = led.barrierRequestedAt?.let { timeSince(it) > BARRIER_LOSS_TIME } ?: false
        if (isLost) log.note("barrier_lost", "term" to led.number)
        if (!led.hasBegun && (!led.isPrepared || isLost)) prepare(led)
    }

    private fun prepare(led: LedTerm) {
        led.isPrepared = true
        val since = clock()
        led.barrierRequestedAt = since
        awaitBarrier { isReached ->
            if (led.barrierRequestedAt == since) led.barrierRequestedAt = null
            if (!isReached) {
                val waited = clock() - since
                log.note("barrier_not_reached", "term" to led.number, "waited_ms" to waited.inWholeMilliseconds)
            }
            if (isStopped || !leadsIn(led.number) || led.hasBegun) return@awaitBarrier
            if (isReached) begin(led) else led.isPrepared = false
        }
    }

    private fun begin(led: LedTerm) {
        led.hasBegun = true
        try {
            latest = create(led.number)
            led.idleSince = null
        } catch (e: Exception) {
            log.note("leadership_failed", "term" to led.number, "cause" to e)
            stepDownAfterFailure(led.number)
        }
    }

    /**
     * Steps down at once after a first failure, and after a growing pause if failures follow each other.
     *
     * An event or a state on which every leader fails would otherwise end one term after the other within milliseconds.
     */
    private fun stepDownAfterFailure(term: Long) {
        val led = ledTerm?.takeIf { it.number == term && leadsIn(term) } ?: return
        val now = clock()
        val isRepeated = lastFailureAt?.let { now - it < FAILURE_MEMORY } ?: false
        failures = if (isRepeated) failures + 1 else 0
        lastFailureAt = now
        if (failures == 0) return requestStepDown(led)
        led.stepDownAt = now + minOf(STEP_DOWN_INTERVAL * (1 shl minOf(failures - 1, MAX_DOUBLINGS)), MAX_PAUSE)
    }

    private fun requestStepDown(led: LedTerm) {
        led.stepDownAt = clock() + STEP_DOWN_INTERVAL
        stepDown()
    }

    /** Asks the replica to step down while the process makes no progress or has failed. */
    private fun checkProgress(led: LedTerm) {
        val isIdle = led.idleSince != null
        val stall = stalls.firstOrNull { timeSince(it.since) > limitOf(it) }
        // A leadership that makes progress again, for lack of a successor, keeps its role.
        if (stall == null && !isIdle) led.stepDownAt = null
        val stepDownAt = led.stepDownAt
        if (stepDownAt != null && clock() >= stepDownAt) requestStepDown(led)
        if (stall == null) return
        val duration = timeSince(stall.since)
        if (isIdle && duration > MAX_IDLE_TIME) {
            return onFatal("led in term ${led.number} for $duration and scheduled nothing")
        }
        if (stepDownAt != null) return
        log.note(
            if (isIdle) "leadership_not_begun" else "leadership_stalled",
            "term" to led.number,
            "cause" to stall.cause,
            "waited_ms" to duration.inWholeMilliseconds,
        )
        // A batch that the log has taken may still get its outcome, if no other process can lead meanwhile.
        if (stall.cause != BATCH_UNANSWERED) end(led.number, stall.cause)
        requestStepDown(led)
    }

    private fun limitOf(stall: Stall): Duration = if (stall.cause == NO_TICK) MAX_TIME_WITHOUT_TICK else STEP_DOWN_TIME

    /** Time that has passed since [start] while the process ran; a suspension ends before it counts. */
    private fun timeSince(start: MonotonicTime): Duration = clock() - (resumedAt()?.let { maxOf(it, start) } ?: start)

    /** A term in which the replica leads; [isPrepared] once a barrier was requested that has not failed. */
    private class LedTerm(val number: Long) {
        var isPrepared = false

        /** Whether a leadership was created; its orders carry the term, so no second one may follow in it. */
        var hasBegun = false
        var barrierRequestedAt: MonotonicTime? = null

        /** Time since which there is no leadership, or null if there is one. */
        var idleSince: MonotonicTime? = null

        /** When the replica is next asked to step down, or null. */
        var stepDownAt: MonotonicTime? = null
    }

    private companion object {
        /** Longer than a batch takes to commit on disks that are thirty times slower than usual. */
        val STEP_DOWN_TIME: Duration = 5.seconds

        /** Long enough for an election; a request without a successor in contact has no effect. */
        val STEP_DOWN_INTERVAL: Duration = 1.seconds

        /** Longer than a disk stalls: a group of one has no successor, and works again after the stall. */
        val MAX_IDLE_TIME: Duration = 25.seconds

        /** Longer than the timeout of a read barrier. */
        val BARRIER_LOSS_TIME: Duration = 1_250.milliseconds
        val MAX_TIME_WITHOUT_TICK: Duration = 1_500.milliseconds

        /** Failures within this time of each other count as one series. */
        val FAILURE_MEMORY: Duration = 30.seconds
        val MAX_PAUSE: Duration = 4.seconds
        const val MAX_DOUBLINGS = 4
    }
}
