package org.auburnstream.model

import kotlinx.serialization.Serializable

/**
 * Amount of a worker's resources.
 *
 * @property millicores processor time, 1000 for a whole processor.
 * @property memoryMegabytes memory in MiB.
 * @property accelerators whole accelerators.
 */
@Serializable
public data class Resources(val millicores: Long = 0, val memoryMegabytes: Long = 0, val accelerators: Int = 0) {
    /** The sum of both. */
    public operator fun plus(other: Resources): Resources = Resources(
        millicores + other.millicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators,
    )

    /** What is left of this after [other]; parts may be negative. */
    public operator fun minus(other: Resources): Resources = Resources(
        millicores - other.millicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators,
    )

    /** Returns whether this is no more than [limit] in each part. */
    public fun fitsIn(limit: Resources): Boolean = millicores <= limit.millicores &&
        memoryMegabytes <= limit.memoryMegabytes &&
        accelerators <= limit.accelerators

    /** Whether no part is negative. */
    public val isValid: Boolean
        get() = millicores >= 0 && memoryMegabytes >= 0 && accelerators >= 0

    public companion object {
        /** Nothing. */
        public val None: Resources = Resources()
    }
}
