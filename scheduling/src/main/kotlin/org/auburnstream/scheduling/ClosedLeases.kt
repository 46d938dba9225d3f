package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime

/**
 * Records which silent workers get no more leases, so that later leaders know when the last one expires.
 *
 * Without such a record, a leader that follows while a worker is silent would have to assume that a lease was granted
 * until the end of the leadership before.
 */
internal class ClosedLeases(
    private val state: SchedulerState,
    private val settings: SchedulingSettings,
    private val contacts: WorkerContacts,
    private val record: (Record) -> Unit,
) {
    /**
     * Closes the leases of a worker with claims that leaves status queries unanswered.
     *
     * A single answer may be lost without any trouble at the worker. A leader that has had no answer at all closes them
     * at the first query, because it may be lost itself before the second one.
     */
    fun close(contact: WorkerContact, now: MonotonicTime) {
        val worker = state.worker(contact.incarnation) ?: return
        val failures = if (contact.answeredQueryAt == null) 1 else FAILURES_BEFORE_CLOSING
        val isDue = contact.failedQueries >= failures && !contact.isSuperseded &&
            state.claimsAt(contact.incarnation).isNotEmpty()
        if (!isDue || contacts.isLeaseClosed(worker, contact)) return
        contact.isLeaseClosed = true
        val left = contact.timeUntilExpiry(now, settings)
        val unconfirmed = state.claimsAt(contact.incarnation).keys.filterTo(LinkedHashSet()) {
            contact.orders[it]?.startedAt == null
        }
        record(Record.LeaseClosed(contact.incarnation, left.inWholeMilliseconds + 1, unconfirmed))
    }

    /** Reopens the leases of a worker that has answered a status query. */
    fun reopen(contact: WorkerContact) {
        val worker = state.worker(contact.incarnation) ?: return
        if (contact.isLeaseReopening || !contacts.isLeaseClosed(worker, contact)) return
        contact.isLeaseReopening = true
        record(Record.LeaseReopened(contact.incarnation))
    }

    /** Handles the commit of a [Record.LeaseReopened]. */
    fun reopened(incarnation: WorkerIncarnation, now: MonotonicTime) {
        val contact = contacts.find(incarnation) ?: return
        contact.isLeaseClosed = false
        contact.isLeaseReopening = false
        // The runs there have lived on the lease that was granted before the silence, and a query in progress does not
        // renew it.
        contact.pendingQueryAt = null
        contact.nextQueryAt = minOf(contact.nextQueryAt, now)
    }

    private companion object {
        const val FAILURES_BEFORE_CLOSING = 2
    }
}
