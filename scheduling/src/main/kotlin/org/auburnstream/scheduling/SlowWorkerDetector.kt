package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Detects workers whose tasks progress far slower than those of other workers, or not at all.
 *
 * Handles a worker that appears healthy while its tasks take several times as long as elsewhere: the worker is
 * quarantined, and those of its tasks that would finish earlier elsewhere are stopped. The speed of a worker is the
 * work that its tasks did per time that they ran, including tasks in progress. It is compared with the median of all
 * workers, so that estimates that are wrong for all tasks do not make a worker count as slow.
 */
internal class SlowWorkerDetector(
    private val state: SchedulerState,
    private val contacts: WorkerContacts,
    private val durations: DurationEstimator,
) {
    /** Median speed at the last time that enough workers had a reliable speed. */
    private var medianSpeed = 1.0

    /** Records the progress of the runs that a status answer lists. */
    fun recordProgress(contact: WorkerContact, rows: List<RunStatus>, now: MonotonicTime) {
        for (row in rows) {
            val estimateMs = estimate(row.run) ?: continue
            startTimeOf(contact, row.run)?.let { contact.speed.recordStart(row.run, it) }
            contact.speed.observe(row.run, row.percent / FULL_PERCENT, estimateMs, now)
        }
        contact.speed.retain(rows.map { it.run }.toSet())
    }

    /** When the run started without a saved state, or null if it resumed from one or the start is not known. */
    private fun startTimeOf(contact: WorkerContact, run: RunId): MonotonicTime? =
        contact.orders[run]?.startedAt?.takeIf { state.task(run.task)?.saved.isNullOrEmpty() }

    /** Records that a run completed its task; must be called before the contact forgets the run. */
    fun recordCompletion(contact: WorkerContact, run: RunId, now: MonotonicTime) {
        val estimateMs = estimate(run) ?: return
        contact.speed.observe(run, fraction = 1.0, estimateMs, now)
    }

    /** Quarantines slow workers; returns their runs that should start elsewhere. */
    fun decide(now: MonotonicTime): List<Pair<RunId, WorkerIncarnation>> {
        val active = contacts.all.filter { state.worker(it.incarnation) != null }
        val measured = active.filter { it.speed.isReliable(now) }
        if (measured.size >= MIN_WORKERS) medianSpeed = measured.map { it.speed.value }.sorted()[measured.size / 2]
        val slow = active.filter { isSlow(it, now) && !it.health.isQuarantined(now) }
        return slow.flatMap { contact ->
            val speedRatio = contact.speed.value / medianSpeed
            contact.health.recordSlowness(now)
            contact.speed.reset()
            state.claimsAt(contact.incarnation).filter { (run, step) ->
                isFasterElsewhere(contact, run, step, speedRatio)
            }
                .keys.map { it to contact.incarnation }
        }
    }

    /** Whether the tasks of the worker reliably progress slower than those of most others. */
    fun isSlower(contact: WorkerContact, now: MonotonicTime): Boolean =
        contact.speed.isReliable(now) && contact.speed.value / medianSpeed < SLOWER_RATIO

    private fun isSlow(contact: WorkerContact, now: MonotonicTime): Boolean {
        val speedRatio = contact.speed.value / medianSpeed
        return (contact.speed.isReliable(now) && speedRatio < SLOW_RATIO) ||
            (contact.speed.hasRecentSample(now) && speedRatio < STALLED_RATIO)
    }

    private fun isFasterElsewhere(
        contact: WorkerContact,
        run: RunId,
        step: StepDescription,
        speedRatio: Double,
    ): Boolean {
        val estimateMs = estimate(run) ?: return false
        if (step.gang) return false
        val row = contact.running.firstOrNull { it.run == run } ?: return false
        val remainingMs = estimateMs * (1 - row.percent / FULL_PERCENT)
        val hereMs = remainingMs / maxOf(speedRatio, MIN_SPEED_RATIO)
        val elsewhereMs = if (step.savesProgress) remainingMs + RESTART_MS else estimateMs + RESTART_MS
        return hereMs > elsewhereMs * MIN_GAIN_FACTOR
    }

    private fun estimate(run: RunId): Double? {
        val job = state.active[run.task.step.job] ?: return null
        val step = job.stepOf(run.task) ?: return null
        if (step.lasting || step.fillsUnused) return null
        return durations.estimate(job.queue.name, step.estimateMs).toDouble().takeIf { it > 0 }
    }

    private companion object {
        const val FULL_PERCENT = 100.0

        /** The median of fewer workers is not meaningful. */
        const val MIN_WORKERS = 4

        /** Far below the spread of healthy workers, whose task estimates are off by about a half each. */
        const val SLOW_RATIO = 0.35

        /** Below the spread of sound workers of one kind. */
        const val SLOWER_RATIO = 0.7

        /** A task on a healthy worker whose estimate is wrong by a factor of twenty is very rare. */
        const val STALLED_RATIO = 0.05
        const val MIN_SPEED_RATIO = 0.01

        /** Time to stop, claim and restore a run, and to repeat the work since its last saved state. */
        const val RESTART_MS = 700.0
        const val MIN_GAIN_FACTOR = 1.3
    }
}

/** Measures the work that the tasks of one worker do per time, as an exponentially weighted average. */
internal class WorkerSpeed {
    private val samples = HashMap<RunId, Sample>()
    private var workMs = 0.0
    private var timeMs = 0.0
    private var decayedAt = MonotonicTime.Zero

    /** Estimated work done per time that tasks ran; 1 if every estimate is right. */
    val value: Double
        get() = if (timeMs == 0.0) 1.0 else workMs / timeMs

    /** Whether the recent observations suffice for a reliable [value]. */
    fun isReliable(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= MIN_OBSERVED_MS
    }

    /** Whether there are recent observations; enough to detect that no task progresses. */
    fun hasRecentSample(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= MIN_RECENT_MS
    }

    /** Records that [run] began at [startedAt], unless the run is already tracked. */
    fun recordStart(run: RunId, startedAt: MonotonicTime) {
        samples.putIfAbsent(run, Sample(fraction = 0.0, startedAt))
    }

    /** Records that [run] has done [fraction] of its work, which takes [estimateMs] in total. */
    fun observe(run: RunId, fraction: Double, estimateMs: Double, now: MonotonicTime) {
        decay(now)
        val last = samples[run]
        if (last == null) {
            samples[run] = Sample(fraction, now)
            return
        }
        val elapsed = (now - last.at).toDouble(DurationUnit.MILLISECONDS)
        // Over shorter times the rounding of the progress to whole percents distorts the result.
        val minElapsedMs = maxOf(MIN_SAMPLE_MS, estimateMs * MIN_SAMPLE_SHARE)
        if (elapsed < minElapsedMs && fraction < 1) return
        workMs += (fraction - last.fraction).coerceAtLeast(0.0) * estimateMs
        timeMs += elapsed
        samples[run] = Sample(fraction, now)
    }

    /** Forgets all runs except [runs]. */
    fun retain(runs: Set<RunId>) {
        samples.keys.retainAll(runs)
    }

    fun reset() {
        samples.clear()
        workMs = 0.0
        timeMs = 0.0
    }

    private fun decay(now: MonotonicTime) {
        val factor = exp(-((now - decayedAt) / DECAY_TIME))
        workMs *= factor
        timeMs *= factor
        decayedAt = now
    }

    private class Sample(val fraction: Double, val at: MonotonicTime)

    private companion object {
        /** Time constant of the average: the duration of a few usual tasks. */
        val DECAY_TIME: Duration = 2.seconds

        /** Total run time of several tasks. */
        const val MIN_OBSERVED_MS = 3_000.0

        /** Run time of one task, slightly longer than the time between two status queries. */
        const val MIN_RECENT_MS = 1_300.0
        const val MIN_SAMPLE_MS = 250.0
        const val MIN_SAMPLE_SHARE = 0.1
    }
}
