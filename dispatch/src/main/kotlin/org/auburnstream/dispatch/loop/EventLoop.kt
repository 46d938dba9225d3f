package org.auburnstream.dispatch.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import org.auburnstream.model.MonotonicTime
import org.slf4j.LoggerFactory
import java.nio.channels.ClosedSelectorException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs all sockets, timers and coroutines of a process on one thread.
 *
 * Everything but [post] and [dispatch] is called on that thread. A handler that throws is logged and ends nothing
 * else; its channel is closed.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
public class EventLoop :
    CoroutineDispatcher(),
    Delay {
    private val selector = Selector.open()
    private val posted = ConcurrentLinkedQueue<Runnable>()
    private val isWaking = AtomicBoolean()
    private val timers = PriorityQueue<Timer>()
    private var sequence = 0L

    @Volatile
    private var isStopped = false
    private var thread: Thread? = null

    /** Reading of the monotonic clock. */
    public val now: MonotonicTime
        get() = MonotonicTime(System.nanoTime())

    /** Called before each turn with the time that the loop spent waiting. */
    public var onTurn: () -> Unit = {}

    /** Runs until [stop]. */
    public fun run() {
        thread = Thread.currentThread()
        while (!isStopped) {
            val wait = waitMillis()
            if (wait == 0L) selector.selectNow() else selector.select(wait)
            isWaking.set(false)
            if (isStopped) break
            guarded(onTurn)
            runPosted()
            runTimers()
            runChannels()
        }
        selector.close()
    }

    /** Makes [run] return after the current turn. */
    public fun stop() {
        isStopped = true
        selector.wakeup()
    }

    /** Runs [block] on the loop's thread; can be called on any thread. */
    public fun post(block: Runnable) {
        posted.add(block)
        if (Thread.currentThread() !== thread && isWaking.compareAndSet(false, true)) selector.wakeup()
    }

    /** Runs [block] after [delay] unless the timer is cancelled. */
    public fun after(delay: Duration, block: () -> Unit): Timer {
        sequence += 1
        return Timer(now + delay, sequence, block).also(timers::add)
    }

    /** Watches [channel] for [operations]; [handler] gets the key whenever it is ready. */
    public fun register(channel: SelectableChannel, operations: Int, handler: (SelectionKey) -> Unit): SelectionKey =
        channel.register(selector, operations, handler)

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        post(block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = Timer(now + timeMillis.milliseconds, 0) {
            with(continuation) { resumeUndispatched(Unit) }
        }
        onLoop { timers.add(timer) }
        continuation.invokeOnCancellation { timer.cancel() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = Timer(now + timeMillis.milliseconds, 0) { block.run() }
        onLoop { timers.add(timer) }
        return DisposableHandle { timer.cancel() }
    }

    private fun onLoop(block: () -> Unit) {
        if (Thread.currentThread() === thread || thread == null) block() else post { block() }
    }

    private fun waitMillis(): Long {
        if (posted.isNotEmpty()) return 0
        while (timers.peek()?.isCancelled == true) timers.poll()
        val next = timers.peek() ?: return IDLE_WAIT_MS
        val left = next.at - now
        if (left <= Duration.ZERO) return 0
        return (left.inWholeNanoseconds + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
    }

    private fun runPosted() {
        // What is posted meanwhile waits for the next turn, so that the sockets are not starved.
        repeat(posted.size) { posted.poll()?.let { block -> guarded { block.run() } } }
    }

    private fun runTimers() {
        val reading = now
        while (true) {
            val timer = timers.peek() ?: return
            if (timer.isCancelled) {
                timers.poll()
                continue
            }
            if (timer.at > reading) return
            timers.poll()
            guarded(timer.block)
        }
    }

    private fun runChannels() {
        val ready = try {
            selector.selectedKeys()
        } catch (_: ClosedSelectorException) {
            return
        }
        if (ready.isEmpty()) return
        val keys = ready.toList()
        ready.clear()
        for (key in keys) {
            if (!key.isValid) continue
            @Suppress("UNCHECKED_CAST")
            val handler = key.attachment() as (SelectionKey) -> Unit
            if (!guarded { handler(key) }) key.channel().close()
        }
    }

    private fun guarded(block: () -> Unit): Boolean = try {
        block()
        true
    } catch (e: Exception) {
        logger.error("event=handler_failed cause=\"{}\"", e.toString(), e)
        false
    }

    /** A call that is due at [at]. */
    public class Timer internal constructor(
        internal val at: MonotonicTime,
        private val sequence: Long,
        internal val block: () -> Unit,
    ) : Comparable<Timer> {
        @Volatile
        internal var isCancelled = false

        /** Prevents the call if it has not happened. */
        public fun cancel() {
            isCancelled = true
        }

        override fun compareTo(other: Timer): Int = compareValuesBy(this, other, { it.at.nanoseconds }, { it.sequence })
    }

    private companion object {
        val logger = LoggerFactory.getLogger(EventLoop::class.java)
        const val NANOS_PER_MILLI = 1_000_000L

        /** Longest wait without a timer; a process always has some, so this is a backstop only. */
        const val IDLE_WAIT_MS = 1_000L
    }
}
