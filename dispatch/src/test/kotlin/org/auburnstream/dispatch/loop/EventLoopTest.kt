package org.auburnstream.dispatch.loop

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@Timeout(60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EventLoopTest {
    private val loop = EventLoop()
    private val loopThread = Thread(loop::run, "loop")

    @BeforeEach
    fun start() = loopThread.start()

    @AfterEach
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    /** Work that armed its timer at the end of its block never ran again after an exception. */
    @Test
    fun anExceptionEndsPeriodicWork() {
        val runs = CountDownLatch(3)
        loop.post {
            loop.every("sweep", 1.milliseconds) {
                runs.countDown()
                error("a state that nothing expects")
            }
        }

        assertTrue(runs.await(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** The same, if counting the failure fails. */
    @Test
    fun anExceptionOfTheFailureHookEndsPeriodicWork() {
        val runs = CountDownLatch(3)
        loop.post {
            loop.onPartFailed = { error("no such metric") }
            loop.every("sweep", 1.milliseconds) {
                runs.countDown()
                error("a state that nothing expects")
            }
        }

        assertTrue(runs.await(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** A failure that is neither counted nor named with its trace goes unnoticed. */
    @Test
    fun anExceptionOfPeriodicWorkIsNotReported() {
        val logger = LoggerFactory.getLogger(EventLoop::class.java) as Logger
        val lines = ListAppender<ILoggingEvent>().apply { start() }
        logger.addAppender(lines)
        val failed = CompletableFuture<String>()
        loop.post {
            loop.onPartFailed = { failed.complete(it) }
            loop.every("sweep", 1.milliseconds) { error("odd") }
        }

        assertEquals("sweep", failed.get(WAIT_SECONDS, TimeUnit.SECONDS))
        logger.detachAppender(lines)
        val line = lines.list.first()
        assertEquals("event=part_failed part=sweep cause=\"${IllegalStateException("odd")}\"", line.formattedMessage)
        assertEquals("odd", line.throwableProxy?.message)
    }

    /** Runs that were missed while the process stood still would follow at once, one after the other. */
    @Test
    fun aPauseIsFollowedByABurstOfRuns() {
        val gaps = ArrayList<Duration>()
        val isDone = CompletableFuture<Unit>()
        loop.post {
            var endedAt = loop.now
            loop.every("sweep", INTERVAL) {
                gaps += loop.now - endedAt
                if (gaps.size == 1) Thread.sleep((INTERVAL * 10).inWholeMilliseconds)
                if (gaps.size == 6) isDone.complete(Unit)
                endedAt = loop.now
            }
        }

        isDone.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertEquals(emptyList(), gaps.take(6).filter { it < INTERVAL })
    }

    /** Work that is cancelled by its own block must not have been armed again. */
    @Test
    fun periodicWorkRunsAfterItsCancellation() {
        var runs = 0
        val others = CountDownLatch(5)
        val isCancelled = CompletableFuture<Unit>()
        loop.post {
            lateinit var cancelled: EventLoop.PeriodicTimer
            cancelled = loop.every("cancelled", 1.milliseconds) {
                runs += 1
                cancelled.cancel()
                isCancelled.complete(Unit)
            }
            loop.every("waiting", 1.milliseconds) { runs += 100 }.cancel()
        }
        isCancelled.get(WAIT_SECONDS, TimeUnit.SECONDS)
        loop.post { loop.every("other", 2.milliseconds, others::countDown) }

        assertTrue(others.await(WAIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(1, runs)
    }

    /** An interval of zero would keep the loop busy with one part. */
    @Test
    fun anIntervalThatIsNotPositiveIsTaken() {
        for (interval in listOf(Duration.ZERO, (-5).milliseconds, Duration.INFINITE)) {
            val refusal = assertFailsWith<IllegalArgumentException> { loop.every("sweep", interval) { } }
            assertContains(refusal.message.orEmpty(), interval.toString())
        }
    }

    private companion object {
        const val WAIT_SECONDS = 20L
        val INTERVAL = 10.milliseconds
    }
}
