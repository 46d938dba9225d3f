package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Caches the answers of the advice service: which workers may run a step, with their tickets.
 *
 * Also decides when the service is called again and limits the calls in progress.
 */
internal class AdviceCache {
    private val entries = HashMap<StepId, Entry>()
    private var callsInProgress = 0

    /** Returns the valid ticket that allows [worker] to run [step], or null. */
    fun ticket(step: StepId, worker: WorkerId, now: MonotonicTime): String? {
        val ticket = entries[step]?.tickets?.get(worker) ?: return null
        return ticket.text.takeIf { now < ticket.validUntil }
    }

    /**
     * Returns the workers of [candidates] to ask about for [step], or an empty list if no call is due.
     *
     * Workers without a ticket come first, as a call names only some of many workers.
     */
    fun workersToAsk(step: StepId, candidates: List<WorkerId>, now: MonotonicTime): List<WorkerId> {
        if (callsInProgress >= MAX_CALLS_IN_PROGRESS || candidates.isEmpty()) return emptyList()
        val entry = entries[step]
        val isDue = when {
            entry == null -> true
            entry.isCallInProgress -> false
            !entry.isAnswered -> now - entry.askedAt >= RETRY_INTERVAL
            now >= entry.answerValidUntil -> true
            // All workers with a ticket are full or have left, so ask about workers that joined or refused a ticket.
            else -> now - entry.askedAt >= REFRESH_INTERVAL && candidates.any { it !in entry.askedWorkers }
        }
        if (!isDue) return emptyList()
        return candidates.sortedBy { ticket(step, it, now) != null }.take(MAX_WORKERS_PER_CALL)
    }

    /** Records a call about [workers]; earlier tickets stay valid until it is answered. */
    fun callStarted(step: StepId, workers: List<WorkerId>, now: MonotonicTime) {
        callsInProgress += 1
        val entry = entries.getOrPut(step) { Entry() }
        entry.askedAt = now
        entry.askedWorkers = workers.toSet()
        entry.isCallInProgress = true
        entry.isAnswered = false
    }

    fun callEnded(step: StepId, advice: Advice?, now: MonotonicTime) {
        callsInProgress -= 1
        val entry = entries[step] ?: return
        entry.isCallInProgress = false
        if (advice == null) return
        val validUntil = now + advice.validMs.milliseconds - DELIVERY_MARGIN
        entry.isAnswered = true
        entry.answerValidUntil = validUntil
        entry.tickets.entries.removeIf { (worker, ticket) -> worker in entry.askedWorkers || now >= ticket.validUntil }
        advice.tickets.forEach { (worker, text) -> entry.tickets[worker] = Ticket(text, validUntil) }
    }

    /** Forgets the ticket for [step] that [worker] refused, so that the next call asks about the worker again. */
    fun forget(step: StepId, worker: WorkerId) {
        val entry = entries[step] ?: return
        entry.tickets.remove(worker)
        entry.askedWorkers -= worker
    }

    fun retainSteps(isOpen: (StepId) -> Boolean) {
        entries.entries.removeIf { !it.value.isCallInProgress && !isOpen(it.key) }
    }

    /** Latest call about a step, and the tickets of all its calls. */
    private class Entry {
        var askedAt = MonotonicTime.Zero
        var askedWorkers: Set<WorkerId> = emptySet()
        var isCallInProgress = false
        var isAnswered = false
        var answerValidUntil = MonotonicTime.Zero
        val tickets = HashMap<WorkerId, Ticket>()
    }

    private class Ticket(val text: String, val validUntil: MonotonicTime)

    private companion object {
        // The service handles one call of each machine at a time and refuses calls beyond 32.
        const val MAX_CALLS_IN_PROGRESS = 8
        const val MAX_WORKERS_PER_CALL = 100
        val RETRY_INTERVAL: Duration = 300.milliseconds
        val REFRESH_INTERVAL: Duration = 1.seconds

        /** Time that the start order may take to reach the worker; a ticket is not used when less is left. */
        val DELIVERY_MARGIN: Duration = 300.milliseconds
    }
}
