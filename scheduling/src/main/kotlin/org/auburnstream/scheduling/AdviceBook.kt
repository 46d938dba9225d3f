package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Remembers which workers may run a step, as the advice service said, with the tickets for them. */
internal class AdviceBook {
    private val bySteps = HashMap<StepId, Entry>()
    private var inProgress = 0

    /** Returns the ticket by which [worker] may run [step], or null. */
    fun ticket(step: StepId, worker: WorkerId, now: MonotonicTime): String? {
        val entry = bySteps[step] ?: return null
        val until = entry.validUntil ?: return null
        return if (now < until) entry.tickets[worker] else null
    }

    /** Returns the workers of [candidates] to ask about for [step], or an empty list if no call is due. */
    fun due(step: StepId, candidates: List<WorkerId>, now: MonotonicTime): List<WorkerId> {
        if (inProgress >= MAX_IN_PROGRESS || candidates.isEmpty()) return emptyList()
        val entry = bySteps[step]
        val isDue = when {
            entry == null -> true
            entry.isAsking -> false
            entry.validUntil == null -> now - entry.askedAt >= RETRY
            now >= entry.validUntil!! -> true
            // All that may run it were full or are gone: ask about those that came since.
            else -> now - entry.askedAt >= REFRESH && candidates.any { it !in entry.asked }
        }
        return if (isDue) candidates.take(MAX_WORKERS) else emptyList()
    }

    fun asked(step: StepId, workers: List<WorkerId>, now: MonotonicTime) {
        inProgress += 1
        bySteps[step] = Entry(now, workers.toSet()).also { it.isAsking = true }
    }

    fun answered(step: StepId, advice: Advice?, now: MonotonicTime) {
        inProgress -= 1
        val entry = bySteps[step] ?: return
        entry.isAsking = false
        if (advice == null) return
        entry.tickets = advice.tickets
        entry.validUntil = now + advice.validMs.milliseconds - MARGIN
    }

    /** Forgets the ticket of [worker], which it refused. */
    fun refused(step: StepId) {
        bySteps.remove(step)
    }

    fun retain(isOpen: (StepId) -> Boolean) {
        bySteps.entries.removeIf { !it.value.isAsking && !isOpen(it.key) }
    }

    private class Entry(val askedAt: MonotonicTime, val asked: Set<WorkerId>) {
        var isAsking = false
        var tickets: Map<WorkerId, String> = emptyMap()
        var validUntil: MonotonicTime? = null
    }

    private companion object {
        // The service takes one call at a time of each machine and refuses beyond 32.
        const val MAX_IN_PROGRESS = 8
        const val MAX_WORKERS = 100
        val RETRY: Duration = 300.milliseconds
        val REFRESH: Duration = 1.seconds

        /** Time for the order to reach the worker. */
        val MARGIN: Duration = 300.milliseconds
    }
}
