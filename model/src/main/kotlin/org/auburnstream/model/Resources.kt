package org.auburnstream.model

import kotlinx.serialization.Serializable

/**
 * Amount of processor time, memory and accelerators of a worker.
 *
 * @property millicores processor time in thousandths of a processor.
 * @property memoryMegabytes memory in MiB.
 * @property accelerators number of accelerators.
 */
@Serializable
public data class Resources(val millicores: Long = 0, val memoryMegabytes: Long = 0, val accelerators: Int = 0) {
    /** Returns the sum of this amount and [other], component by component. */
    public operator fun plus(other: Resources): Resources = Resources(
        millicores + other.millicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators,
    )

    /** Returns this amount less [other], component by component; components of the result may be negative. */
    public operator fun minus(other: Resources): Resources = Resources(
        millicores - other.millicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators,
    )

    /** Returns whether no component exceeds that of [limit]. */
    public fun fitsIn(limit: Resources): Boolean = millicores <= limit.millicores &&
        memoryMegabytes <= limit.memoryMegabytes &&
        accelerators <= limit.accelerators

    /** Whether no component is negative. */
    public val isValid: Boolean
        get() = millicores >= 0 && memoryMegabytes >= 0 && accelerators >= 0

    public companion object {
        /** The amount in which every component is zero. */
        public val None: Resources = Resources()
    }
}
