package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Controls the processor share of the fill tasks of one worker, to protect the tail latency of its serving tasks.
 *
 * Fill tasks use the processor time that other tasks leave unused (see [StepDescription.fillsUnused]). They can raise
 * the tail latency of serving tasks within seconds. Therefore all fill tasks of the worker are slowed down at the
 * first status answer that shows a tail above its target, and sped up one step at a time while the tail stays well
 * below the target.
 */
internal class PaceControl(private val incarnation: WorkerIncarnation) {
    private val shares = HashMap<RunId, Int>()
    private var nextRaiseAt: MonotonicTime? = null

    /** Whether the latest status answer showed a tail latency above its target. */
    var isOverTarget = false
        private set

    /** Returns the new share, in percent, of each fill task whose share changes. */
    fun decide(rows: List<RunStatus>, steps: Map<RunId, StepDescription>, now: MonotonicTime): Map<RunId, Int> {
        val serving = rows.filter { (steps[it.run]?.tailTargetMs ?: 0) > 0 }
        val fillRuns = rows.filter { steps[it.run]?.fillsUnused == true }.map { it.run }
        shares.keys.retainAll(fillRuns.toSet())
        if (fillRuns.isEmpty()) return emptyMap()
        val worstRatio = serving.maxOfOrNull { it.measurement.toDouble() / steps.getValue(it.run).tailTargetMs } ?: 0.0
        isOverTarget = worstRatio > SLOW_DOWN_RATIO
        val mayRaise = nextRaiseAt?.let { now >= it } ?: true
        val changes = HashMap<RunId, Int>()
        for (run in fillRuns) {
            val current = shares.getOrPut(run) { FULL_PERCENT }
            val next = nextShare(current, worstRatio, mayRaise)
            if (next != current) changes[run] = next
        }
        if (isOverTarget) {
            nextRaiseAt = now + RAISE_PAUSE_AFTER_MISS
        } else if (changes.isNotEmpty()) {
            nextRaiseAt = now + RAISE_PAUSE
        }
        return changes
    }

    private fun nextShare(current: Int, worstRatio: Double, mayRaise: Boolean): Int = when {
        worstRatio > STOP_RATIO -> 0
        isOverTarget -> (current * SLOW_DOWN_FACTOR).toInt().takeIf { it >= MIN_PERCENT } ?: 0
        worstRatio < SPEED_UP_RATIO && mayRaise -> minOf(FULL_PERCENT, current + SPEED_UP_STEP_PERCENT)
        else -> current
    }

    /** Records that [share] is in force for [run]. */
    fun applied(run: RunId, share: Int) {
        shares[run] = share
    }

    override fun toString(): String = "$incarnation $shares"

    private companion object {
        const val FULL_PERCENT = 100
        const val MIN_PERCENT = 10

        // Slowing begins below the target, because the tail is a rough measurement of the last half second.
        const val SLOW_DOWN_RATIO = 0.95
        const val STOP_RATIO = 1.3
        const val SPEED_UP_RATIO = 0.75
        const val SLOW_DOWN_FACTOR = 0.5
        const val SPEED_UP_STEP_PERCENT = 20
        val RAISE_PAUSE: Duration = 900.milliseconds
        val RAISE_PAUSE_AFTER_MISS: Duration = 2_000.milliseconds
    }
}
