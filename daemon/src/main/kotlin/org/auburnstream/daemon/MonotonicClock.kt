package org.auburnstream.daemon

import org.auburnstream.model.MonotonicTime
import kotlin.time.TimeSource

/** Returns a clock that measures the time elapsed on [source] since this call. */
public fun monotonicClock(source: TimeSource = TimeSource.Monotonic): () -> MonotonicTime {
    val origin = source.markNow()
    return { MonotonicTime(origin.elapsedNow().inWholeNanoseconds) }
}
