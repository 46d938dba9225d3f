package org.auburnstream.dispatch

import org.auburnstream.dispatch.log.LineLog
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.Action
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Coordinator
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.RefusalReason
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.SchedulingSettings
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the [Coordinator] during one term as leader: passes events to it and executes the actions that it returns.
 *
 * @property isConfirmed whether a quorum has confirmed the leadership of this [term] recently enough to act on it.
 * @property commit proposes a batch and reports its outcome once.
 * @property onFailure called with the cause when the coordinator has failed and this leadership has ended.
 */
internal class Leadership(
    val term: Long,
    state: SchedulerState,
    settings: SchedulingSettings,
    private val loop: EventLoop,
    private val gateway: Gateway,
    private val metrics: NodeMetrics,
    private val isConfirmed: () -> Boolean,
    private val commit: (RecordBatch, (CommitOutcome) -> Unit) -> Unit,
    private val onFailure: (String) -> Unit,
    private val clock: () -> MonotonicTime = { loop.now },
) {
    private val log = LineLog("coordinator")
    private val coordinator = Coordinator(state, settings, clock())
    private val pendingCalls = HashMap<CallId, (Reply) -> Unit>()
    private var lastCall = 0L
    private var timer: EventLoop.Timer? = null
    private var deferredActions = ArrayList<Action>()
    private var batchSubmittedAt: MonotonicTime? = null
    private var rejectedSince: MonotonicTime? = null
    private var rejectedAt: MonotonicTime? = null
    private var rejections = 0
    private var tickedAt = clock()

    /** The progress that this leader owes and has not made; empty if it decides and commits. */
    val stalls: List<Stall>
        get() = listOfNotNull(
            batchSubmittedAt?.let { Stall(BATCH_UNANSWERED, it) },
            // A leader that proposes nothing after a rejection owes no commit.
            rejectedSince?.takeIf { isRecent(rejectedAt) }?.let { Stall("batches_rejected", it) },
            Stall(NO_TICK, tickedAt).takeIf { clock() - tickedAt > MAX_TICK_INTERVAL },
        )

    /** Whether [end] was called or the coordinator has failed. */
    var hasEnded: Boolean = false
        private set

    init {
        tick()
    }

    /**
     * Passes the event that [event] creates to the coordinator; calls [reply] with the reply to its call id.
     *
     * A leadership that has ended takes no event, so the call has certainly not run.
     */
    fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit) {
        if (hasEnded) return reply(NotLeading)
        lastCall += 1
        val call = CallId(lastCall)
        pendingCalls[call] = reply
        handleEvent(event(call))
    }

    /**
     * Ends the leadership and answers all pending calls.
     *
     * A call that was never proposed has certainly not run; the outcome of any other one is [Reply.Unknown].
     */
    fun end() {
        hasEnded = true
        timer?.cancel()
        val unanswered = pendingCalls.toList()
        val notRun = coordinator.unproposedCalls.toSet()
        pendingCalls.clear()
        unanswered.forEach { (call, reply) ->
            isolate("reply_failed") { reply(if (call in notRun) NotLeading else Reply.Unknown) }
        }
    }

    /** Executes the actions that were deferred until a quorum confirms the leadership again. */
    fun releaseDeferred() {
        if (deferredActions.isEmpty() || hasEnded || !isConfirmed()) return
        val actions = deferredActions
        deferredActions = ArrayList()
        failing { actions.forEach(::carryOut) }
    }

    /** Lets the coordinator make the decisions that are due; called by a timer of its own. */
    fun tick() {
        if (hasEnded) return
        tickedAt = clock()
        releaseDeferred()
        handleEvent(Event.Tick)
        if (hasEnded) return
        timer?.cancel()
        timer = loop.after(maxOf(coordinator.nextDeadline - clock(), MIN_TICK_INTERVAL), ::tick)
    }

    private fun handleEvent(event: Event) {
        if (hasEnded) return
        val nowMs = System.currentTimeMillis()
        failing { coordinator.handle(event, clock(), nowMs).forEach(::carryOut) }
    }

    /** Runs [block]; an exception ends the leadership, because it may have interrupted a decision halfway. */
    private fun failing(block: () -> Unit) {
        try {
            block()
        } catch (e: Exception) {
            logger.error("event=coordinator_failed term={} cause=\"{}\"", term, e.toString(), e)
            end()
            onFailure("coordinator failed: $e")
        }
    }

    private fun carryOut(action: Action) {
        if (hasEnded && action !is Action.Note) return
        when (action) {
            is Action.Commit -> commitBatch(action.batch)
            is Action.Answer -> answer(action)
            is Action.Note -> {
                metrics.countEvent(action.event)
                log.note(action.event, action.fields)
            }
            else -> {
                // A leader that was suspended may have been replaced, so its orders wait for a quorum to confirm it.
                if (!isConfirmed()) {
                    deferredActions.add(action)
                    return
                }
                metrics.countOrder(action)
                isolate("order_failed") { gateway.carryOut(action, term, isConfirmed) { event -> handleEvent(event) } }
            }
        }
    }

    /** Passes the reply to its caller; a leader that may have been replaced tells nothing of its state before. */
    private fun answer(action: Action.Answer) {
        val dependsOnState = action.reply == Reply.Accepted || action.reply == Reply.NotPermitted
        if (dependsOnState && !isConfirmed()) {
            deferredActions.add(action)
            return
        }
        val reply = pendingCalls.remove(action.call) ?: return
        isolate("reply_failed") { reply(action.reply) }
    }

    /** Runs [block], whose failure concerns a single caller or worker, and logs it as [event]. */
    private fun isolate(event: String, block: () -> Unit) {
        try {
            block()
        } catch (e: Exception) {
            logger.error("event={} cause=\"{}\"", event, e.toString(), e)
        }
    }

    private fun commitBatch(batch: RecordBatch) {
        val since = clock()
        batchSubmittedAt = since
        commit(batch) { outcome ->
            batchSubmittedAt = null
            failing { settle(batch, outcome, clock() - since) }
        }
    }

    private fun isRecent(time: MonotonicTime?): Boolean = time != null && clock() - time < REJECTION_MEMORY

    private fun settle(batch: RecordBatch, outcome: CommitOutcome, elapsed: Duration) {
        metrics.recordCommit(outcome, elapsed, batch.records.size)
        when (outcome) {
            CommitOutcome.Committed -> {
                rejectedSince = null
                rejections = 0
                handleEvent(Event.BatchApplied)
            }
            is CommitOutcome.Rejected -> {
                noteRejection(batch, outcome)
                handleEvent(Event.BatchRejected)
            }
            // The batch may still be applied later, so this state is no longer a basis for decisions.
            CommitOutcome.Unknown -> end()
        }
    }

    /** Logs the rejection if the number since the last commit is a power of two, which bounds the volume. */
    private fun noteRejection(batch: RecordBatch, outcome: CommitOutcome.Rejected) {
        if (!isRecent(rejectedAt)) {
            rejectedSince = null
            rejections = 0
        }
        val since = rejectedSince ?: clock().also { rejectedSince = it }
        rejectedAt = clock()
        rejections += 1
        if (rejections.countOneBits() > 1) return
        log.note(
            "batch_rejected",
            "term" to term,
            "reason" to outcome.reason,
            "records" to batch.records.size,
            "rejections" to rejections,
            "since_ms" to (clock() - since).inWholeMilliseconds,
        )
    }

    private companion object {
        val logger: Logger = LoggerFactory.getLogger(Leadership::class.java)
        val MIN_TICK_INTERVAL = MonotonicTime(1_000_000) - MonotonicTime.Zero

        /** Several times the interval at which the coordinator asks for a tick. */
        val MAX_TICK_INTERVAL: Duration = 500.milliseconds

        /** Rejections within this time of each other count as one series; a coordinator retries at its next tick. */
        val REJECTION_MEMORY: Duration = 1_500.milliseconds
    }
}

/** Reply to a call that was not passed to a coordinator. */
internal val NotLeading: Reply = Reply.NotAccepted(RefusalReason.NO_LEADER, retryAfter = 1.seconds)

/** Progress that a leader owes and has not made [since] a time; [cause] goes to logs. */
internal data class Stall(val cause: String, val since: MonotonicTime)

/** Cause of a [Stall]: the log has taken a batch and neither committed nor dropped it. */
internal const val BATCH_UNANSWERED = "batch_unanswered"

/** Cause of a [Stall]: the coordinator is not called any more at the times it asks for. */
internal const val NO_TICK = "no_tick"

/** Outcome of the proposal of a batch. */
public sealed interface CommitOutcome {
    /** Name of the outcome in metrics. */
    public val label: String

    /** The batch was committed and applied. */
    public data object Committed : CommitOutcome {
        override val label: String = "committed"
    }

    /** The batch was certainly not appended to the log, because of [reason]. */
    public data class Rejected(val reason: String) : CommitOutcome {
        override val label: String = "rejected"
    }

    /** The batch may be committed later. */
    public data object Unknown : CommitOutcome {
        override val label: String = "unknown"
    }
}
