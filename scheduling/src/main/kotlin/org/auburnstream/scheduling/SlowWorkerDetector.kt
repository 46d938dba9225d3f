package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Finds workers whose tasks progress far slower than those of others, or not at all.
 *
 * Answers the load pattern of a worker that looks healthy while its tasks take several times as long: it is set aside,
 * and those of its tasks that are over earlier elsewhere are stopped. The speed of a worker is the work that its
 * tasks did per time that they ran, of tasks that have ended and of others alike; it counts in relation to the median
 * of all workers, so that estimates that are wrong for all make no worker slow.
 */
internal class SlowWorkerDetector(
    private val state: SchedulerState,
    private val contacts: WorkerContacts,
    private val durations: DurationEstimator,
) {
    /** Median speed when enough workers were known last. */
    private var medianSpeed = 1.0

    /** Takes the progress that a look shows. */
    fun recordProgress(contact: WorkerContact, rows: List<RunStatus>, now: MonotonicTime) {
        for (row in rows) {
            val estimateMs = estimate(row.run) ?: continue
            startTimeOf(contact, row.run)?.let { contact.speed.recordStart(row.run, it) }
            contact.speed.observe(row.run, row.percent / FULL_PERCENT, estimateMs, now)
        }
        contact.speed.retain(rows.map { it.run }.toSet())
    }

    /** When the run began from nothing, or null if that is not known or it went on from a saved state. */
    private fun startTimeOf(contact: WorkerContact, run: RunId): MonotonicTime? =
        contact.orders[run]?.startedAt?.takeIf { state.task(run.task)?.saved.isNullOrEmpty() }

    /** Takes the end of a run whose task is done; called before the contact forgets the run. */
    fun recordCompletion(contact: WorkerContact, run: RunId, now: MonotonicTime) {
        val estimateMs = estimate(run) ?: return
        contact.speed.observe(run, fraction = 1.0, estimateMs, now)
    }

    /** Sets slow workers aside; returns the runs there that should start elsewhere. */
    fun decide(now: MonotonicTime): List<Pair<RunId, WorkerLife>> {
        val active = contacts.all.filter { state.worker(it.life) != null }
        val measured = active.filter { it.speed.isReliable(now) }
        if (measured.size >= MIN_WORKERS) medianSpeed = measured.map { it.speed.value }.sorted()[measured.size / 2]
        val slow = active.filter { isSlow(it, now) && !it.health.isQuarantined(now) }
        return slow.flatMap { contact ->
            val speedRatio = contact.speed.value / medianSpeed
            contact.health.recordSlowness(now)
            contact.speed.reset()
            state.claimsAt(contact.life).filter { (run, step) -> isFasterElsewhere(contact, run, step, speedRatio) }
                .keys.map { it to contact.life }
        }
    }

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
        val left = estimateMs * (1 - row.percent / FULL_PERCENT)
        val here = left / maxOf(speedRatio, MIN_SPEED_RATIO)
        val elsewhere = if (step.savesProgress) left + RESTART_MS else estimateMs + RESTART_MS
        return here > elsewhere * MIN_GAIN_FACTOR
    }

    private fun estimate(run: RunId): Double? {
        val job = state.active[run.task.step.job] ?: return null
        val step = job.description.steps[run.task.step.step]
        if (step.lasting || step.fillsUnused) return null
        return durations.estimate(job.queue.name, step.estimateMs).toDouble().takeIf { it > 0 }
    }

    private companion object {
        const val FULL_PERCENT = 100.0

        /** A median of fewer says little. */
        const val MIN_WORKERS = 4

        /** Far below the spread of sound workers, whose tasks' estimates are wrong by a half or so each. */
        const val SLOW_RATIO = 0.35

        /** A sound task that is estimated wrong by a factor of twenty is very rare. */
        const val STALLED_RATIO = 0.05
        const val MIN_SPEED_RATIO = 0.01

        /** Stop, claim and restore of a run, with the work since its last saved state. */
        const val RESTART_MS = 700.0
        const val MIN_GAIN_FACTOR = 1.3
    }
}

/** Work that the tasks of one worker did per time, with exponential forgetting. */
internal class WorkerSpeed {
    private val samples = HashMap<RunId, Sample>()
    private var workMs = 0.0
    private var timeMs = 0.0
    private var decayedAt = MonotonicTime.Zero

    /** Work done per time that tasks ran; 1 if every estimate is right. */
    val value: Double
        get() = if (timeMs == 0.0) 1.0 else workMs / timeMs

    /** Whether enough was seen lately to tell. */
    fun isReliable(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= MIN_OBSERVED_MS
    }

    /** Whether something was seen lately: enough to tell that nothing progresses. */
    fun hasRecentSample(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= MIN_RECENT_MS
    }

    /** Notes that [run] began at [startedAt], if nothing is known of it. */
    fun recordStart(run: RunId, startedAt: MonotonicTime) {
        samples.putIfAbsent(run, Sample(fraction = 0.0, startedAt))
    }

    /** Notes that [run] has done [fraction] of its work, which takes [estimateMs] in all. */
    fun observe(run: RunId, fraction: Double, estimateMs: Double, now: MonotonicTime) {
        decay(now)
        val last = samples[run]
        if (last == null) {
            samples[run] = Sample(fraction, now)
            return
        }
        val elapsed = (now - last.at).toDouble(DurationUnit.MILLISECONDS)
        // Below this the rounding of the progress to whole percents counts.
        val leastMs = maxOf(MIN_SAMPLE_MS, estimateMs * MIN_SAMPLE_SHARE)
        if (elapsed < leastMs && fraction < 1) return
        workMs += (fraction - last.fraction).coerceAtLeast(0.0) * estimateMs
        timeMs += elapsed
        samples[run] = Sample(fraction, now)
    }

    /** Forgets runs that are not among [runs]. */
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
        /** A few usual tasks long. */
        val DECAY_TIME: Duration = 2.seconds

        /** Time of several tasks together. */
        const val MIN_OBSERVED_MS = 3_000.0

        /** Time of one task, a little longer than that between two looks. */
        const val MIN_RECENT_MS = 1_300.0
        const val MIN_SAMPLE_MS = 250.0
        const val MIN_SAMPLE_SHARE = 0.1
    }
}
