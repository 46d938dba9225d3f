package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Quarantines a worker on which runs of different jobs fail, so that it gets no new tasks for a while.
 *
 * Handles a worker whose reports appear healthy while its runs fail: because it is always free, it would otherwise
 * attract all waiting tasks. Only failures that follow each other within [FAILURE_MEMORY] count together, and a worker
 * may be probed during its quarantine.
 */
internal class WorkerHealth {
    private var failuresInRow = 0
    private var lastFailedJob: Any? = null
    private var lastFailureAt: MonotonicTime? = null
    private var quarantinedSince = MonotonicTime.Zero
    private var quarantinedUntil: MonotonicTime? = null
    private var quarantineCount = 0

    fun isQuarantined(now: MonotonicTime): Boolean = quarantinedUntil?.let { now < it } ?: false

    /** Whether a task that no other worker can take may start here, although the worker is quarantined. */
    fun mayProbe(now: MonotonicTime): Boolean = isQuarantined(now) && now - quarantinedSince >= PROBE_DELAY

    /**
     * Records that a run of [job] failed; returns true if the worker is quarantined because of it.
     *
     * @param workedFor how long the run had worked, if its task is lasting. Such a run never ends as done, so a long
     *   one counts as a success.
     */
    fun recordFailure(job: Any, now: MonotonicTime, workedFor: Duration = Duration.ZERO): Boolean {
        if (workedFor >= SOUND_RUN) {
            recordSuccess()
            return false
        }
        if (!isRecent(now)) recordSuccess()
        lastFailureAt = now
        // Repeated failures of the same job may be caused by the job, so they do not count against the worker.
        if (job == lastFailedJob) return false
        lastFailedJob = job
        failuresInRow += 1
        if (failuresInRow < FAILURES_BEFORE_QUARANTINE) return false
        return quarantine(now)
    }

    /** Records that the worker answered that it is unhealthy; returns true because it is quarantined. */
    fun recordUnhealthyAnswer(now: MonotonicTime): Boolean = quarantine(now)

    /** Records that tasks progress far slower on this worker than on others, and quarantines it. */
    fun recordSlowness(now: MonotonicTime) {
        quarantineFor(SLOW_WORKER_QUARANTINE, now)
    }

    fun recordSuccess() {
        failuresInRow = 0
        lastFailedJob = null
        quarantineCount = 0
    }

    /** Whether the last failure, or the quarantine that followed it, is so recent that another failure adds to it. */
    private fun isRecent(now: MonotonicTime): Boolean {
        val since = listOfNotNull(lastFailureAt, quarantinedUntil).maxOrNull() ?: return false
        return now - since < FAILURE_MEMORY
    }

    private fun quarantineFor(duration: Duration, now: MonotonicTime) {
        quarantinedSince = now
        quarantinedUntil = now + duration
    }

    private fun quarantine(now: MonotonicTime): Boolean {
        val factor = 1 shl minOf(quarantineCount, MAX_DOUBLINGS)
        quarantineFor(FIRST_QUARANTINE * factor, now)
        quarantineCount += 1
        failuresInRow = FAILURES_BEFORE_QUARANTINE - 1
        lastFailedJob = null
        return true
    }

    private companion object {
        // At the usual failure rate of 3 %, three different jobs in a row fail by chance less than once in ten
        // thousand cases.
        const val FAILURES_BEFORE_QUARANTINE = 3
        val FIRST_QUARANTINE: Duration = 1.seconds

        // Half the time for which workers usually stay slow; the next tasks show whether the worker is still slow.
        val SLOW_WORKER_QUARANTINE: Duration = 3.seconds

        // Limits the quarantine to 8 s, about the usual duration of a worker's problem.
        const val MAX_DOUBLINGS = 3

        /** Time after which a failure has another cause than the one before; a few times a usual task's duration. */
        val FAILURE_MEMORY: Duration = 10.seconds

        /** A failing worker ends a run much sooner. */
        val SOUND_RUN: Duration = 3.seconds

        /** Limits how often a worker that fails everything is probed. */
        val PROBE_DELAY: Duration = 1.seconds
    }
}
