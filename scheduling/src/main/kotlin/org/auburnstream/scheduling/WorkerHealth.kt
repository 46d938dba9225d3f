package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sets a worker aside that fails what it starts, without blaming the tasks.
 *
 * Answers the load pattern of a worker whose reports look healthy while its runs end as failed: since it is always
 * free, it would draw all waiting work.
 */
internal class WorkerHealth {
    private var failuresInRow = 0
    private var lastFailedJob: Any? = null
    private var quarantinedUntil: MonotonicTime? = null
    private var quarantineCount = 0

    fun isQuarantined(now: MonotonicTime): Boolean = quarantinedUntil?.let { now < it } ?: false

    /** Notes that a run of [job] failed; returns true if the worker is set aside now. */
    fun recordFailure(job: Any, now: MonotonicTime): Boolean {
        // One job that always fails says nothing about the worker.
        if (job == lastFailedJob) return false
        lastFailedJob = job
        failuresInRow += 1
        if (failuresInRow < FAILURES_BEFORE_QUARANTINE) return false
        return quarantine(now)
    }

    /** Notes an answer by which the worker itself says that it is unhealthy. */
    fun recordUnhealthyAnswer(now: MonotonicTime): Boolean = quarantine(now)

    /** Notes that tasks progress far slower here than elsewhere. */
    fun recordSlowness(now: MonotonicTime) {
        quarantinedUntil = now + SLOW_WORKER_QUARANTINE
    }

    fun recordSuccess() {
        failuresInRow = 0
        lastFailedJob = null
        quarantineCount = 0
    }

    private fun quarantine(now: MonotonicTime): Boolean {
        val factor = 1 shl minOf(quarantineCount, MAX_DOUBLINGS)
        quarantinedUntil = now + FIRST_QUARANTINE * factor
        quarantineCount += 1
        failuresInRow = FAILURES_BEFORE_QUARANTINE - 1
        lastFailedJob = null
        return true
    }

    private companion object {
        // Three different jobs in a row fail by chance less than once in ten thousand at the usual share of 3 %.
        const val FAILURES_BEFORE_QUARANTINE = 3
        val FIRST_QUARANTINE: Duration = 1.seconds

        // Half the time that workers usually stay slow; the next tasks tell whether it is over.
        val SLOW_WORKER_QUARANTINE: Duration = 3.seconds

        // Longest time aside: 8 s, about the length of a worker's usual trouble.
        const val MAX_DOUBLINGS = 3
    }
}
