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
import java.nio.channels.SocketChannel
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Single-threaded event loop that runs all sockets, timers and coroutines of a process.
 *
 * All members except [post], [dispatch] and [stop] must be called on the loop's thread. An exception from a callback is
 * logged and does not stop the loop; if the callback is a channel handler, its channel is closed.
 *
 * @property openSocket opens the socket of an outgoing connection.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
public class EventLoop(internal val openSocket: () -> SocketChannel = { SocketChannel.open() }) :
    CoroutineDispatcher(),
    Delay {
    private val selector = Selector.open()
    private val posted = ConcurrentLinkedQueue<Runnable>()
    private val isWakeupPending = AtomicBoolean()
    private val timers = PriorityQueue<Timer>()

    /** Number of queued timers at which the cancelled ones are removed. */
    private var purgeSize = MIN_PURGE_SIZE

    /** Number of timers that are queued, cancelled ones included. */
    internal val queuedTimers: Int
        get() = timers.size
    private var sequence = 0L

    @Volatile
    private var isStopped = false
    private var thread: Thread? = null

    /** Current time of the monotonic clock. */
    public val now: MonotonicTime
        get() = MonotonicTime(System.nanoTime())

    /** Called at the start of each turn, after the wait for events and before any callback runs. */
    public var onTurn: () -> Unit = {}

    /** Called with the name of a part after an exception from a block that [every] runs. */
    public var onPartFailed: (part: String) -> Unit = {}

    /** Runs the loop on the current thread until [stop] is called. */
    public fun run() {
        thread = Thread.currentThread()
        while (!isStopped) {
            val wait = waitMillis()
            if (wait == 0L) selector.selectNow() else selector.select(wait)
            isWakeupPending.set(false)
            if (isStopped) break
            runLoggingFailure(onTurn)
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

    /** Queues [block] to run on the loop's thread; may be called on any thread. */
    public fun post(block: Runnable) {
        posted.add(block)
        if (Thread.currentThread() !== thread && isWakeupPending.compareAndSet(false, true)) selector.wakeup()
    }

    /** Runs [block] after [delay] unless the returned timer is cancelled. */
    public fun after(delay: Duration, block: () -> Unit): Timer {
        sequence += 1
        return Timer(now + delay, sequence, block).also(::add)
    }

    /**
     * Runs [block] every [interval], measured from the end of a run to the start of the next, until the returned timer
     * is cancelled.
     *
     * An exception from [block] is logged as `event=part_failed` and passed to [onPartFailed]; later runs still follow.
     * After a pause of the process the missed runs are not made up for.
     *
     * @param part name of the periodic work in the log.
     * @throws IllegalArgumentException if [interval] is not positive and finite.
     */
    public fun every(part: String, interval: Duration, block: () -> Unit): PeriodicTimer {
        require(interval.isPositive() && interval.isFinite()) {
            "the interval of $part must be positive and finite, but is $interval"
        }
        return PeriodicTimer(part, interval, block).also { it.arm() }
    }

    /** Registers [channel] for [operations] and calls [handler] with its key whenever one of them is ready. */
    public fun register(channel: SelectableChannel, operations: Int, handler: (SelectionKey) -> Unit): SelectionKey =
        channel.register(selector, operations, handler)

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        post(block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = Timer(now + timeMillis.milliseconds, 0) {
            with(continuation) { resumeUndispatched(Unit) }
        }
        runOnLoop { add(timer) }
        continuation.invokeOnCancellation { timer.cancel() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = Timer(now + timeMillis.milliseconds, 0) { block.run() }
        runOnLoop { add(timer) }
        return DisposableHandle { timer.cancel() }
    }

    private fun add(timer: Timer) {
        timers.add(timer)
        if (timers.size < purgeSize) return
        timers.removeIf { it.isCancelled }
        // Doubling the size keeps the cost of the removals in proportion to the number of timers.
        purgeSize = maxOf(MIN_PURGE_SIZE, 2 * timers.size)
    }

    private fun runOnLoop(block: () -> Unit) {
        if (Thread.currentThread() === thread || thread == null) block() else post { block() }
    }

    private fun waitMillis(): Long {
        if (posted.isNotEmpty()) return 0
        while (timers.peek()?.isCancelled == true) timers.poll()
        val next = timers.peek() ?: return IDLE_WAIT_MS
        val remaining = next.dueAt - now
        if (remaining <= Duration.ZERO) return 0
        return (remaining.inWholeNanoseconds + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
    }

    private fun runPosted() {
        // Blocks posted while these run wait for the next turn, so that they cannot starve timers and sockets.
        repeat(posted.size) { posted.poll()?.let { block -> runLoggingFailure { block.run() } } }
    }

    private fun runTimers() {
        val currentTime = now
        while (true) {
            val timer = timers.peek() ?: return
            if (timer.isCancelled) {
                timers.poll()
                continue
            }
            if (timer.dueAt > currentTime) return
            timers.poll()
            timer.take()?.let(::runLoggingFailure)
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
            if (!runLoggingFailure { handler(key) }) key.channel().close()
        }
    }

    /** Runs [block], logs any exception it throws, and returns whether it succeeded. */
    private fun runLoggingFailure(block: () -> Unit): Boolean = try {
        block()
        true
    } catch (e: Exception) {
        logger.error("event=handler_failed cause=\"{}\"", e.toString(), e)
        false
    }

    /**
     * A callback scheduled for [dueAt]; timers due at the same time run in the order of [sequence].
     *
     * A timer stays queued after it was cancelled, so it drops its callback, which may refer to much that is over.
     */
    public class Timer internal constructor(
        internal val dueAt: MonotonicTime,
        private val sequence: Long,
        block: () -> Unit,
    ) : Comparable<Timer> {
        @Volatile
        private var block: (() -> Unit)? = block

        internal val isCancelled: Boolean
            get() = block == null

        /** Cancels the callback if it has not run yet. */
        public fun cancel() {
            block = null
        }

        /** Returns the callback if it was not cancelled, and drops it. */
        internal fun take(): (() -> Unit)? = block.also { block = null }

        override fun compareTo(other: Timer): Int =
            compareValuesBy(this, other, { it.dueAt.nanoseconds }, { it.sequence })
    }

    /** Periodic work that [every] has started. */
    public inner class PeriodicTimer internal constructor(
        private val part: String,
        private val interval: Duration,
        private val block: () -> Unit,
    ) {
        private var next: Timer? = null
        private var isCancelled = false

        /** Cancels all later runs; may be called from the block itself. */
        public fun cancel() {
            isCancelled = true
            next?.cancel()
        }

        internal fun arm() {
            if (!isCancelled) next = after(interval, ::runOnce)
        }

        private fun runOnce() {
            try {
                block()
            } catch (e: Exception) {
                logger.error("event=part_failed part={} cause=\"{}\"", part, e.toString(), e)
                onPartFailed(part)
            } finally {
                arm()
            }
        }
    }

    private companion object {
        val logger = LoggerFactory.getLogger(EventLoop::class.java)
        const val NANOS_PER_MILLI = 1_000_000L

        /** Cancelled timers that may stay queued; they take some tens of bytes each. */
        const val MIN_PURGE_SIZE = 1_024

        /** Maximum wait without a timer; only a safeguard, because a process always has timers. */
        const val IDLE_WAIT_MS = 1_000L
    }
}
