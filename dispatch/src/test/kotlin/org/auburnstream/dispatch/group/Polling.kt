package org.auburnstream.dispatch.group

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Waits until [condition] holds, and fails with [problem] if it does not within [limit]. */
internal fun pollUntil(limit: Duration, problem: () -> String, condition: () -> Boolean) {
    val begin = TimeSource.Monotonic.markNow()
    while (!condition()) {
        if (begin.elapsedNow() > limit) throw AssertionError("after $limit: ${problem()}")
        CountDownLatch(1).await(POLL_MS, TimeUnit.MILLISECONDS)
    }
}

private const val POLL_MS = 20L
