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
internal class ProgressWatch(
    private val state: SchedulerState,
    private val contacts: Contacts,
    private val durations: DurationBook,
) {
    /** Median speed when enough workers were known last. */
    private var usual = 1.0

    /** Takes the progress that a look shows. */
    fun looked(contact: WorkerContact, rows: List<RunningRow>, now: MonotonicTime) {
        for (row in rows) {
            val estimateMs = estimate(row.run) ?: continue
            beginningOf(contact, row.run)?.let { contact.speed.begin(row.run, it) }
            contact.speed.observe(row.run, row.percent / WHOLE, estimateMs, now)
        }
        contact.speed.retain(rows.map { it.run }.toSet())
    }

    /** When the run began from nothing, or null if that is not known or it went on from a saved state. */
    private fun beginningOf(contact: WorkerContact, run: RunId): MonotonicTime? =
        contact.orders[run]?.startedAt?.takeIf { state.task(run.task)?.saved.isNullOrEmpty() }

    /** Takes the end of a run whose task is done; called before the contact forgets the run. */
    fun done(contact: WorkerContact, run: RunId, now: MonotonicTime) {
        val estimateMs = estimate(run) ?: return
        contact.speed.observe(run, fraction = 1.0, estimateMs, now)
    }

    /** Sets slow workers aside; returns the runs there that should start elsewhere. */
    fun decide(now: MonotonicTime): List<Pair<RunId, WorkerLife>> {
        val working = contacts.all.filter { state.worker(it.life) != null }
        val known = working.filter { it.speed.isKnown(now) }
        if (known.size >= LEAST_WORKERS) usual = known.map { it.speed.value }.sorted()[known.size / 2]
        val slow = working.filter { isSlow(it, now) && !it.health.isAside(now) }
        return slow.flatMap { contact ->
            val relative = contact.speed.value / usual
            contact.health.slow(now)
            contact.speed.reset()
            state.claimsAt(contact.life).filter { (run, step) -> isSoonerElsewhere(contact, run, step, relative) }
                .keys.map { it to contact.life }
        }
    }

    private fun isSlow(contact: WorkerContact, now: MonotonicTime): Boolean {
        val relative = contact.speed.value / usual
        return (contact.speed.isKnown(now) && relative < SLOW_BELOW) ||
            (contact.speed.isGlimpsed(now) && relative < STANDING_BELOW)
    }

    private fun isSoonerElsewhere(
        contact: WorkerContact,
        run: RunId,
        step: StepDescription,
        relative: Double,
    ): Boolean {
        val estimateMs = estimate(run) ?: return false
        if (step.gang) return false
        val row = contact.running.firstOrNull { it.run == run } ?: return false
        val left = estimateMs * (1 - row.percent / WHOLE)
        val here = left / maxOf(relative, LEAST_SPEED)
        val elsewhere = if (step.savesProgress) left + RESTART_MS else estimateMs + RESTART_MS
        return here > elsewhere * WORTH_FACTOR
    }

    private fun estimate(run: RunId): Double? {
        val job = state.active[run.task.step.job] ?: return null
        val step = job.description.steps[run.task.step.step]
        if (step.lasting || step.fillsUnused) return null
        return durations.estimate(job.queue.name, step.estimateMs).toDouble().takeIf { it > 0 }
    }

    private companion object {
        const val WHOLE = 100.0

        /** A median of fewer says little. */
        const val LEAST_WORKERS = 4

        /** Far below the spread of sound workers, whose tasks' estimates are wrong by a half or so each. */
        const val SLOW_BELOW = 0.35

        /** A sound task that is estimated wrong by a factor of twenty is very rare. */
        const val STANDING_BELOW = 0.05
        const val LEAST_SPEED = 0.01

        /** Stop, claim and restore of a run, with the work since its last saved state. */
        const val RESTART_MS = 700.0
        const val WORTH_FACTOR = 1.3
    }
}

/** Work that the tasks of one worker did per time, with exponential forgetting. */
internal class WorkerSpeed {
    private val seen = HashMap<RunId, Seen>()
    private var workMs = 0.0
    private var timeMs = 0.0
    private var decayedAt = MonotonicTime.Zero

    /** Work done per time that tasks ran; 1 if every estimate is right. */
    val value: Double
        get() = if (timeMs == 0.0) 1.0 else workMs / timeMs

    /** Whether enough was seen lately to tell. */
    fun isKnown(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= LEAST_TIME_MS
    }

    /** Whether something was seen lately: enough to tell that nothing progresses. */
    fun isGlimpsed(now: MonotonicTime): Boolean {
        decay(now)
        return timeMs >= GLIMPSE_MS
    }

    /** Notes that [run] began at [startedAt], if nothing is known of it. */
    fun begin(run: RunId, startedAt: MonotonicTime) {
        seen.putIfAbsent(run, Seen(fraction = 0.0, startedAt))
    }

    /** Notes that [run] has done [fraction] of its work, which takes [estimateMs] in all. */
    fun observe(run: RunId, fraction: Double, estimateMs: Double, now: MonotonicTime) {
        decay(now)
        val last = seen[run]
        if (last == null) {
            seen[run] = Seen(fraction, now)
            return
        }
        val elapsed = (now - last.at).toDouble(DurationUnit.MILLISECONDS)
        // Below this the rounding of the progress to whole percents counts.
        val leastMs = maxOf(LEAST_STEP_MS, estimateMs * LEAST_STEP_SHARE)
        if (elapsed < leastMs && fraction < 1) return
        workMs += (fraction - last.fraction).coerceAtLeast(0.0) * estimateMs
        timeMs += elapsed
        seen[run] = Seen(fraction, now)
    }

    /** Forgets runs that are not among [runs]. */
    fun retain(runs: Set<RunId>) {
        seen.keys.retainAll(runs)
    }

    fun reset() {
        seen.clear()
        workMs = 0.0
        timeMs = 0.0
    }

    private fun decay(now: MonotonicTime) {
        val factor = exp(-((now - decayedAt) / MEMORY))
        workMs *= factor
        timeMs *= factor
        decayedAt = now
    }

    private class Seen(val fraction: Double, val at: MonotonicTime)

    private companion object {
        /** A few usual tasks long. */
        val MEMORY: Duration = 2.seconds

        /** Time of several tasks together. */
        const val LEAST_TIME_MS = 3_000.0

        /** Time of one task, a little longer than that between two looks. */
        const val GLIMPSE_MS = 1_300.0
        const val LEAST_STEP_MS = 250.0
        const val LEAST_STEP_SHARE = 0.1
    }
}
