package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Pace of a maintenance wave.
 *
 * @property maxInProgress maximum number of VMs that the wave drains or stops at the same time, 1 or more.
 * @property gap minimum time between the starts of two drains.
 */
@Serializable
public data class WavePace(val maxInProgress: Int = 1, val gap: Duration = Duration.ZERO) {
    internal val isValid: Boolean get() = maxInProgress >= 1 && gap >= Duration.ZERO

    public companion object {
        /** One VM at a time, without a gap. */
        public val Default: WavePace = WavePace()
    }
}

/**
 * Replicated state of a maintenance wave.
 *
 * @property pending VMs that still have to be maintained, including those in progress.
 * @property done VMs that have been maintained.
 * @property lastDrainAt start of the latest drain.
 */
@Serializable
public data class Wave(
    val spec: WaveSpec,
    val startedAt: Instant,
    val status: WaveStatus = WaveStatus.RUNNING,
    val pending: Set<VmId>,
    val done: Set<VmId> = emptySet(),
    val lastDrainAt: Instant? = null,
    val endedAt: Instant? = null,
)

/** Status of a maintenance wave. */
@Serializable
public enum class WaveStatus {
    /** Drains VMs as windows, pace and budgets permit. */
    RUNNING,

    /** Starts no drain until it is resumed. */
    PAUSED,

    /** Ended by an operator. */
    CANCELLED,

    /** No VM is pending. */
    DONE,
}

internal val Wave.isOpen: Boolean get() = status == WaveStatus.RUNNING || status == WaveStatus.PAUSED
