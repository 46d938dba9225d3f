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
    private var asideUntil: MonotonicTime? = null
    private var timesAside = 0

    fun isAside(now: MonotonicTime): Boolean = asideUntil?.let { now < it } ?: false

    /** Notes that a run of [job] failed; returns true if the worker is set aside now. */
    fun failed(job: Any, now: MonotonicTime): Boolean {
        // One job that always fails says nothing about the worker.
        if (job == lastFailedJob) return false
        lastFailedJob = job
        failuresInRow += 1
        if (failuresInRow < FAILURES_ASIDE) return false
        return setAside(now)
    }

    /** Notes an answer by which the worker itself says that it is unhealthy. */
    fun refused(now: MonotonicTime): Boolean = setAside(now)

    /** Notes that tasks progress far slower here than elsewhere. */
    fun slow(now: MonotonicTime) {
        asideUntil = now + SLOW_ASIDE
    }

    fun succeeded() {
        failuresInRow = 0
        lastFailedJob = null
        timesAside = 0
    }

    private fun setAside(now: MonotonicTime): Boolean {
        val factor = 1 shl minOf(timesAside, MAX_DOUBLINGS)
        asideUntil = now + FIRST_ASIDE * factor
        timesAside += 1
        failuresInRow = FAILURES_ASIDE - 1
        lastFailedJob = null
        return true
    }

    private companion object {
        // Three different jobs in a row fail by chance less than once in ten thousand at the usual share of 3 %.
        const val FAILURES_ASIDE = 3
        val FIRST_ASIDE: Duration = 1.seconds

        // Half the time that workers usually stay slow; the next tasks tell whether it is over.
        val SLOW_ASIDE: Duration = 3.seconds

        // Longest time aside: 8 s, about the length of a worker's usual trouble.
        const val MAX_DOUBLINGS = 3
    }
}
