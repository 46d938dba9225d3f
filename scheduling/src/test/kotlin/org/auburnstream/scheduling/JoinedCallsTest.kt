package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Tests calls that ask again for what is in the batch that is being committed.
 *
 * Guards against an acknowledgement of something that a rejected batch lost, and against a call that is never answered.
 */
class JoinedCallsTest {
    private val state = SchedulerState(retentionMs = 150_000)
    private val coordinator = Coordinator(state, SchedulingSettings(), MonotonicTime.Zero)
    private val replies = LinkedHashMap<CallId, Reply>()
    private var batch: RecordBatch? = null

    private val requests = mapOf<String, (CallId) -> Event>(
        "job" to { submission(it, "a") },
        "catalog" to { Event.CatalogSubmitted(it, Catalog(5, emptyList(), emptyList()), "{}") },
        "wave" to { Event.WaveSubmitted(it, 7, listOf(VmId("vm")), 20.seconds, cap = 1) },
    )

    @Test
    fun aCallIsAcknowledgedForWhatARejectedBatchLost() {
        for ((name, request) in requests) {
            val test = JoinedCallsTest()
            test.handle(request(CallId(1)))
            test.handle(request(CallId(2)))
            test.handle(Event.BatchRejected)
            test.handle(Event.Tick)
            test.handle(test.submission(CallId(3), "b"))
            test.commit()

            assertEquals(Reply.Accepted, test.replies[CallId(3)], name)
            for (call in 1L..2L) {
                assertEquals(Reply.NotAccepted(RefusalReason.NO_LEADER, 1.seconds), test.replies[CallId(call)], name)
            }
        }
    }

    @Test
    fun aCallIsNeverAnsweredBecauseNoFurtherBatchFollows() {
        for ((name, request) in requests) {
            val test = JoinedCallsTest()
            test.handle(request(CallId(1)))
            test.handle(request(CallId(2)))
            test.commit()

            assertEquals(List(2) { Reply.Accepted }, (1L..2L).map { test.replies[CallId(it)] }, name)
        }
    }

    @Test
    fun aCancelIsAcknowledgedThatARejectedBatchLost() {
        handle(submission(CallId(1), "a"))
        commit()
        handle(Event.CancelRequested(CallId(2), JobId("a")))
        handle(Event.CancelRequested(CallId(3), JobId("a")))
        handle(Event.BatchRejected)
        handle(Event.Tick)
        handle(submission(CallId(4), "b"))
        commit()

        assertEquals(JobPhase.ACTIVE, state.jobs.getValue(JobId("a")).phase)
        assertEquals(Reply.NotAccepted(RefusalReason.NO_LEADER, 1.seconds), replies[CallId(3)])
    }

    private fun submission(call: CallId, id: String): Event {
        val step = StepDescription(count = 1, demand = Resources(100, 100))
        return Event.JobSubmitted(call, JobId(id), VirtualFleet.QUEUE, JobDescription("", listOf(step)))
    }

    private fun commit() {
        state.apply(checkNotNull(batch), MonotonicTime.Zero)
        handle(Event.BatchApplied)
    }

    private fun handle(event: Event) {
        for (action in coordinator.handle(event, MonotonicTime.Zero, NOW_MS)) {
            when (action) {
                is Action.Answer -> replies[action.call] = action.reply
                is Action.Commit -> batch = action.batch
                else -> Unit
            }
        }
    }

    private companion object {
        const val NOW_MS = 1_700_000_000_000
    }
}
