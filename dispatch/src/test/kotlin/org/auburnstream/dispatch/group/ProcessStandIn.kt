package org.auburnstream.dispatch.group

import org.auburnstream.dispatch.loop.EventLoop
import java.nio.channels.Pipe
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An event loop on its own thread that stands for a process; it can be frozen and killed. */
internal class ProcessStandIn(name: String) {
    val loop = EventLoop()
    private val threads = ThreadGroup(name)
    private val runner = Thread(threads, loop::run, name)
    private val probe = Pipe.open().apply { source().configureBlocking(false) }
    private val selector = loop.register(probe.source(), SelectionKey.OP_READ) {}.selector()
    private var thaw: CountDownLatch? = null

    val isFrozen: Boolean
        get() = thaw != null

    fun start(block: () -> Unit) {
        runner.start()
        loop.post(block)
    }

    /** Runs [block] on the loop after [delay] and returns its result. */
    fun <T> call(delay: Duration = Duration.ZERO, block: () -> T): T {
        val result = CompletableFuture<T>()
        loop.post { loop.after(delay) { result.complete(block()) } }
        return result.get(CALL_SECONDS, TimeUnit.SECONDS)
    }

    /** Stops the loop's thread until [thaw]; the system still accepts connections and bytes for it meanwhile. */
    fun freeze() {
        val frozen = CountDownLatch(1)
        val latch = CountDownLatch(1)
        loop.post {
            frozen.countDown()
            latch.await()
        }
        check(frozen.await(CALL_SECONDS, TimeUnit.SECONDS)) { "the loop did not stop within $CALL_SECONDS s" }
        thaw = latch
    }

    fun thaw() {
        thaw?.countDown()
        thaw = null
    }

    /** Ends the loop and closes its sockets, of which the code on the loop learns nothing. */
    fun kill() {
        thaw()
        val channels = CompletableFuture<List<SelectableChannel>>()
        loop.post {
            channels.complete(selector.keys().map { it.channel() })
            loop.stop()
        }
        val open = channels.get(CALL_SECONDS, TimeUnit.SECONDS)
        runner.join()
        open.forEach { it.close() }
        probe.sink().close()
        // A killed process writes no more, but the disk thread of a stopped loop may still be in a write.
        pollUntil(CALL_SECONDS.seconds, { "the disk is still written to" }) { !isWriting() }
    }

    private fun isWriting(): Boolean {
        val all = arrayOfNulls<Thread>(threads.activeCount() + 1)
        threads.enumerate(all)
        return all.any { it?.name == "disk" && it.state != Thread.State.WAITING }
    }

    private companion object {
        const val CALL_SECONDS = 20L
    }
}
