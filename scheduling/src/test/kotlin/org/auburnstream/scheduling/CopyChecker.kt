package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the runs of tasks that may have copies: at most two in progress, at different workers, and none long after the
 * end of the task.
 *
 * @property now returns the reading of the virtual clock.
 */
internal class CopyChecker(private val now: () -> MonotonicTime, private val report: (String) -> Unit) {
    private val doneAt = HashMap<TaskId, MonotonicTime>()
    private val failedAt = HashMap<TaskId, ArrayList<MonotonicTime>>()
    private val isCopied = HashSet<TaskId>()

    fun runStarted(run: RunId, worker: VirtualWorker, others: Map<RunId, VirtualWorker>) {
        if (others.isNotEmpty()) isCopied.add(run.task)
        if (others.size > 1) report("$run is a third run beside ${others.keys}")
        if (worker in others.values) report("$run runs at the worker of $others")
    }

    fun endRecorded(task: TaskId) {
        doneAt.putIfAbsent(task, now())
    }

    fun failureRecorded(task: TaskId) {
        failedAt.getOrPut(task) { ArrayList() }.add(now())
    }

    /** Whether the completion of [task] has been recorded for more than a second. */
    fun isLongDone(task: TaskId): Boolean = doneAt[task]?.let { now() - it > 1.seconds } == true

    /** Returns the number of failures of [task] that have been recorded for more than a second. */
    fun longFailed(task: TaskId): Int = failedAt[task].orEmpty().count { now() - it > 1.seconds }

    /** Handles the end of [run], which must not come long after the completion of its task. */
    fun runEnded(run: RunId) {
        val since = doneAt[run.task]?.let { now() - it } ?: return
        if (run.task in isCopied && since > stopLimit) report("$run runs for $since after its task was done")
    }

    /** Reports that [run] is still in progress if its task is done. */
    fun checkStopped(run: RunId) {
        if (run.task in isCopied) runEnded(run)
    }

    /** Longest time from the recorded completion of a task to the stop of its other run. */
    var stopLimit: Duration = 1.seconds
}
