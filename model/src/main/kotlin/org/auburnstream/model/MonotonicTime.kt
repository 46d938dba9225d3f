package org.auburnstream.model

import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reading of a process's monotonic clock, in nanoseconds since an arbitrary origin.
 *
 * Readings of different processes can't be compared. The modules that contain decision logic receive the reading with
 * each input, so that tests can pause and advance it.
 */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    /** Returns the reading [duration] after this one. */
    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    /** Returns the reading [duration] before this one. */
    public operator fun minus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the time elapsed from [other] to this reading. */
    public operator fun minus(other: MonotonicTime): Duration = (nanoseconds - other.nanoseconds).nanoseconds

    override fun toString(): String = nanoseconds.nanoseconds.toString()

    public companion object {
        /** Reading at the origin of the clock. */
        public val Zero: MonotonicTime = MonotonicTime(0)
    }
}
