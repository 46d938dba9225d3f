package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides how fast the tasks that fill a worker may work beside its serving tasks.
 *
 * Answers the load pattern of serving tasks whose tail grows within seconds because of what fills beside them: all
 * fills of the worker are slowed at the first look over the target, and sped up one step at a time while the tail
 * stays well below it.
 */
internal class PaceControl(private val life: WorkerLife) {
    private val percent = HashMap<RunId, Int>()
    private var nextRaiseAt: MonotonicTime? = null

    /** Whether a target was missed at the latest look. */
    var isOverTarget = false
        private set

    /** Returns the new share of each fill whose share changes. */
    fun decide(rows: List<RunStatus>, steps: Map<RunId, StepDescription>, now: MonotonicTime): Map<RunId, Int> {
        val serving = rows.filter { (steps[it.run]?.tailTargetMs ?: 0) > 0 }
        val fills = rows.filter { steps[it.run]?.fillsUnused == true }.map { it.run }
        percent.keys.retainAll(fills.toSet())
        if (fills.isEmpty()) return emptyMap()
        val worstRatio = serving.maxOfOrNull { it.measurement.toDouble() / steps.getValue(it.run).tailTargetMs } ?: 0.0
        isOverTarget = worstRatio > SLOW_DOWN_RATIO
        val mayRaise = nextRaiseAt?.let { now >= it } ?: true
        val changes = HashMap<RunId, Int>()
        for (run in fills) {
            val current = percent.getOrPut(run) { FULL_PERCENT }
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

    /** Notes that the worker has taken over [share] for [run]. */
    fun applied(run: RunId, share: Int) {
        percent[run] = share
    }

    override fun toString(): String = "$life $percent"

    private companion object {
        const val FULL_PERCENT = 100
        const val MIN_PERCENT = 10

        // Slowing begins below the target, because a tail is a rough figure of the last half second.
        const val SLOW_DOWN_RATIO = 0.95
        const val STOP_RATIO = 1.3
        const val SPEED_UP_RATIO = 0.75
        const val SLOW_DOWN_FACTOR = 0.5
        const val SPEED_UP_STEP_PERCENT = 20
        val RAISE_PAUSE: Duration = 900.milliseconds
        val RAISE_PAUSE_AFTER_MISS: Duration = 2_000.milliseconds
    }
}
