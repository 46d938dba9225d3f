package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the length of a lease depends on for one run: whether it lasts, its expected duration, its age if known. */
internal class RunOutlook(val isLasting: Boolean, val estimate: Duration, val age: Duration?) {
    /** Whether the run should be over before a short lease expires, so that its work is rarely lost with the lease. */
    val isBrief: Boolean
        get() = !isLasting && age != null && age <= BRIEF_RUN && estimate in Duration.ZERO..BRIEF_RUN

    private companion object {
        val BRIEF_RUN: Duration = 2.seconds
    }
}

/**
 * Returns the length of the lease for a worker with [runs].
 *
 * Load pattern: workers go dark one by one, and now and then the whole control group does. Brief runs start elsewhere
 * after a [SchedulingSettings.briefLease]; a longer lease only delays them. Lasting and long runs would lose their work
 * if the group were dark for longer than their lease, so a worker with one of them gets the longest. A run that takes
 * longer than it should is no brief one.
 */
internal fun leaseLength(runs: Iterable<RunOutlook>, settings: SchedulingSettings): Duration =
    if (runs.all { it.isBrief }) settings.briefLease else settings.maxLease

/** Looks up what [leaseLength] depends on. */
internal class LeaseLengths(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val durations: DurationEstimator,
) {
    /** Returns the length of a lease that [contact]'s worker gets at [now]. */
    fun lengthAt(contact: WorkerContact, now: MonotonicTime): Duration {
        if (settings.briefLease == settings.maxLease) return settings.maxLease
        // A late order for the earlier incarnation may still grant the longest lease to this one.
        val worker = state.worker(contact.incarnation)
        val isRestarted = worker?.earlier != null && now - worker.registeredAt < settings.lateOrderLifetime
        if (isRestarted) return settings.maxLease
        val runs = state.claimsAt(contact.incarnation).map { (run, step) ->
            val queue = state.jobs[run.task.step.job]?.queue?.name
            val estimateMs = if (queue == null) step.estimateMs else durations.estimate(queue, step.estimateMs)
            // A run that an earlier leader ordered may be of any age.
            RunOutlook(step.lasting, estimateMs.milliseconds, contact.orders[run]?.let { now - it.sentAt })
        }
        return leaseLength(runs, settings)
    }
}
