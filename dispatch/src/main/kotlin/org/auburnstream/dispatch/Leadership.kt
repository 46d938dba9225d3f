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
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.SchedulingSettings

/**
 * One leadership: feeds a [Coordinator] and carries out what it decides.
 *
 * @property isConfirmed whether a quorum has confirmed this leadership so lately that orders may go out.
 * @property commit proposes a batch; its result comes as an event.
 */
internal class Leadership(
    val term: Long,
    state: SchedulerState,
    settings: SchedulingSettings,
    private val loop: EventLoop,
    private val gateway: Gateway,
    private val metrics: NodeMetrics,
    private val isConfirmed: () -> Boolean,
    private val commit: (RecordBatch, (Boolean?) -> Unit) -> Unit,
) {
    private val log = LineLog("coordinator")
    private val coordinator = Coordinator(state, settings, loop.now)
    private val calls = HashMap<CallId, (Reply) -> Unit>()
    private var lastCall = 0L
    private var isOver = false
    private var timer: EventLoop.Timer? = null
    private var held = ArrayList<Action>()

    init {
        tick()
    }

    fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit) {
        if (isOver) return reply(Reply.Unknown)
        lastCall += 1
        val call = CallId(lastCall)
        calls[call] = reply
        feed(event(call))
    }

    /** Ends the leadership; calls that wait are answered as unknown. */
    fun end() {
        isOver = true
        timer?.cancel()
        val open = calls.values.toList()
        calls.clear()
        open.forEach { it(Reply.Unknown) }
    }

    /** Carries out the actions that waited until the leadership was confirmed again. */
    fun release() {
        if (held.isEmpty() || isOver || !isConfirmed()) return
        val actions = held
        held = ArrayList()
        actions.forEach(::carryOut)
    }

    private fun tick() {
        if (isOver) return
        release()
        feed(Event.Tick)
        timer = loop.after(maxOf(coordinator.nextDeadline - loop.now, MIN_TICK), ::tick)
    }

    private fun feed(event: Event) {
        if (isOver) return
        val nowMs = System.currentTimeMillis()
        coordinator.handle(event, loop.now, nowMs).forEach(::carryOut)
    }

    private fun carryOut(action: Action) {
        when (action) {
            is Action.Commit -> commitBatch(action.batch)
            is Action.Answer -> calls.remove(action.call)?.invoke(action.reply)
            is Action.Note -> {
                metrics.noted(action.event)
                log.note(action.event, action.fields)
            }
            else -> {
                // An order of a leader that was frozen must not go out before a quorum has confirmed it again.
                if (!isConfirmed()) {
                    held.add(action)
                    return
                }
                metrics.ordered(action)
                gateway.carryOut(action, term) { event -> feed(event) }
            }
        }
    }

    private fun commitBatch(batch: RecordBatch) {
        val since = loop.now
        commit(batch) { isCommitted ->
            metrics.committed(loop.now - since, batch.records.size)
            when (isCommitted) {
                true -> feed(Event.BatchApplied)
                false -> feed(Event.BatchRejected)
                // The batch may or may not be applied later, so nothing can be decided on this state any more.
                null -> end()
            }
        }
    }

    private companion object {
        val MIN_TICK = MonotonicTime(1_000_000) - MonotonicTime.Zero
    }
}
