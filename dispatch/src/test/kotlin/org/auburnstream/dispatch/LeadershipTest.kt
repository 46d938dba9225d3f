package org.auburnstream.dispatch

import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.JobDescription
import org.auburnstream.scheduling.Queue
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.Record
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.RefusalReason
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.SchedulingSettings
import org.auburnstream.scheduling.StepDescription
import org.auburnstream.scheduling.WorkerId
import org.auburnstream.scheduling.WorkerIncarnation
import org.auburnstream.scheduling.WorkerProfile
import kotlin.test.Test
import kotlin.test.assertEquals

class LeadershipTest {
    private val profile = WorkerProfile(
        incarnation = WorkerIncarnation(WorkerId("w"), 1),
        service = ServiceId("s"),
        address = "10.0.0.1:80",
        dataCentre = DataCentreId("a"),
        capacity = Resources(1_000, 1_000),
    )
    private var isConfirmed = false
    private val replies = ArrayList<Reply>()
    private val leadership = Leadership(
        term = 1,
        state = SchedulerState(retentionMs = 1_000).apply {
            apply(RecordBatch(1, listOf(Record.WorkerRegistered(profile, leaving = false))), MonotonicTime.Zero)
        },
        settings = SchedulingSettings(),
        loop = EventLoop(),
        gateway = { _, _, _, _ -> },
        metrics = NodeMetrics(),
        isConfirmed = { isConfirmed },
        commit = { _, _ -> },
        onFailure = { error(it) },
    )

    private fun report() = leadership.offer(
        { Event.WorkerReported(it, profile, sequence = 1, isLeaving = false, clockMs = null) },
        replies::add,
    )

    /** A leader that was replaced would keep the worker's reports from its successor. */
    @Test
    fun aLeaderThatNoQuorumConfirmsAcknowledgesReports() {
        report()
        assertEquals(emptyList(), replies.toList())

        isConfirmed = true
        leadership.releaseDeferred()
        assertEquals(listOf<Reply>(Reply.Accepted), replies.toList())
    }

    @Test
    fun aReportIsNotAnsweredWhenItsLeaderIsReplaced() {
        report()
        leadership.end()
        assertEquals(listOf<Reply>(Reply.Unknown), replies.toList())
    }

    /** Only the first job is in the batch whose outcome is open; the second one, and its resend, wait for the next. */
    @Test
    fun aCallThatWasNeverProposedMayHaveRun() {
        isConfirmed = true
        submit("proposed")
        submit("waiting")
        submit("waiting")
        submit("proposed")
        leadership.end()

        assertEquals(listOf(Reply.Unknown, NotLeading, NotLeading, Reply.Unknown), replies.toList())
    }

    private fun submit(id: String) {
        val queue = Queue(QueueName("q"), "h", "/q/", profile.service, objectiveMs = 600, timeoutMs = 3_000)
        val job = JobDescription("", listOf(StepDescription(count = 1, demand = Resources(100, 100))))
        leadership.offer({ Event.JobSubmitted(it, JobId(id), queue, job) }, replies::add)
    }

    /** A call that no coordinator has seen has certainly not run. */
    @Test
    fun aCallAfterTheEndOfALeadershipMayHaveRun() {
        leadership.end()
        report()
        assertEquals(RefusalReason.NO_LEADER, (replies.single() as Reply.NotAccepted).reason)
    }
}
