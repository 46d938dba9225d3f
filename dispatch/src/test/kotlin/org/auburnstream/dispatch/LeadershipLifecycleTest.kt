package org.auburnstream.dispatch

import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.dispatch.loop.EventLoop
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DaemonId
import org.auburnstream.model.JobId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.JobDescription
import org.auburnstream.scheduling.ListedVm
import org.auburnstream.scheduling.Queue
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.SchedulingSettings
import org.auburnstream.scheduling.StepDescription
import org.auburnstream.scheduling.VmListing
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeadershipLifecycleTest {
    private var now = MonotonicTime.Zero
    private var status = statusOf(ReplicaRole.FOLLOWER, term = 1)
    private var isBarrierReached: Boolean? = true
    private var outcome: CommitOutcome? = CommitOutcome.Committed
    private var createFailure: Exception? = null
    private val begun = ArrayList<Leadership>()
    private var stepDowns = 0
    private var hasSuccessor = false
    private var fatal: String? = null
    private var resumedAt: MonotonicTime? = null
    private var barrier: (done: (Boolean) -> Unit) -> Unit = { done -> isBarrierReached?.let(done) }
    private var commit: (done: (CommitOutcome) -> Unit) -> Unit = { done -> outcome?.let(done) }
    private val lifecycle: LeadershipLifecycle = LeadershipLifecycle(
        status = { status },
        clock = { now },
        awaitBarrier = { done -> barrier(done) },
        create = { term ->
            createFailure?.let { throw it }
            leadership(term).also(begun::add)
        },
        stepDown = {
            stepDowns += 1
            if (hasSuccessor) status = statusOf(ReplicaRole.FOLLOWER, status.term)
        },
        onFatal = { fatal = it },
        resumedAt = { resumedAt },
    )

    private fun statusOf(role: ReplicaRole, term: Long) =
        ReplicaStatus(role, term, DaemonId("self"), LogIndex(0), LogIndex(0))

    private fun leadership(term: Long) = Leadership(
        term = term,
        state = SchedulerState(retentionMs = 1_000),
        settings = SchedulingSettings(),
        loop = EventLoop(),
        gateway = { _, _, _, _ -> },
        metrics = NodeMetrics(),
        isConfirmed = { lifecycle.leadsIn(term) },
        commit = { _, done -> commit(done) },
        onFailure = { lifecycle.fail(term, it) },
        clock = { now },
    )

    /** Lets [duration] pass in which the leader ticks and compares its state as often as a running process does. */
    private fun run(duration: Duration) {
        val end = now + duration
        while (now < end) {
            now += TICK
            lifecycle.current?.tick()
            if (now.nanoseconds % COMPARISON.inWholeNanoseconds == 0L) lifecycle.update()
        }
    }

    private fun submitJob(): List<Reply> {
        val replies = ArrayList<Reply>()
        val description = JobDescription("payload", listOf(StepDescription(count = 1, demand = Resources(1, 1))))
        begun.last().offer({ Event.JobSubmitted(it, JobId("0123456789abcdef"), QUEUE, description) }, replies::add)
        return replies
    }

    private fun lead(term: Long) {
        status = statusOf(ReplicaRole.LEADER, term)
        lifecycle.update()
    }

    /** A process that missed the end of its term must not act on it when it is elected again. */
    @Test
    fun aLeadershipOfAnEarlierTermStaysInChargeInALaterOne() {
        lead(term = 2)
        assertEquals(2, lifecycle.current?.term)

        status = statusOf(ReplicaRole.LEADER, term = 4)
        assertNull(lifecycle.current)

        lifecycle.update()
        assertTrue(begun[0].hasEnded)
        assertEquals(4, lifecycle.current?.term)
    }

    /** An error in the coordinator must not leave a leader that answers heartbeats and schedules nothing. */
    @Test
    fun aCoordinatorThatFailedLeadsOnWithoutScheduling() {
        lead(term = 2)
        begun[0].offer({ Event.VmsListed(VmListing(UnreadableList, requestedAt = MonotonicTime.Zero)) }) { }

        assertTrue(begun[0].hasEnded)
        assertNull(lifecycle.current)
        assertEquals(1, stepDowns)

        lifecycle.update()
        assertEquals(1, begun.size, "a second leadership in the same term")
        lead(term = 3)
        assertEquals(3, lifecycle.current?.term)
    }

    /** A leader whose read barrier is never answered schedules nothing and keeps others from being elected. */
    @Test
    fun aLeaderThatCannotBeginKeepsItsRole() {
        isBarrierReached = null
        lead(term = 2)
        now += 4.seconds
        lifecycle.update()
        assertEquals(0, stepDowns)

        now += 2.seconds
        lifecycle.update()
        assertEquals(1, stepDowns)
        assertNull(fatal)

        now += 20.seconds
        lifecycle.update()
        assertTrue(fatal.orEmpty().contains("term 2"), "$fatal")
    }

    @Test
    fun aBarrierThatFailsIsRequestedAgainInTheSameTerm() {
        isBarrierReached = false
        lead(term = 2)
        assertNull(lifecycle.current)

        isBarrierReached = true
        lifecycle.update()
        assertEquals(2, lifecycle.current?.term)
    }

    /** The coroutine that waits for the barrier has died, so no answer ever comes. */
    @Test
    fun aBarrierThatIsNeverAnsweredKeepsTheLeaderFromBeginning() {
        isBarrierReached = null
        lead(term = 2)
        isBarrierReached = true
        run(CONFIGURATION_ACK_TIME - ELECTION_TIME)
        assertEquals(2, lifecycle.current?.term)
        assertEquals(0, stepDowns)
    }

    /** Reads are answered and nothing commits, for as long as the process leads. */
    @Test
    fun aBatchWithoutAnOutcomeStopsTheLeaderForGood() {
        hasSuccessor = true
        lead(term = 2)
        outcome = null
        val replies = submitJob()
        run(LASTING_TASK_TIME - ELECTION_TIME)

        assertTrue(begun[0].hasEnded)
        assertEquals(listOf<Reply>(Reply.Unknown), replies)
        assertTrue(stepDowns > 0)
    }

    @Test
    fun aLeaderWhoseBatchesAreAlwaysRejectedKeepsItsRole() {
        lead(term = 2)
        outcome = CommitOutcome.Rejected("not_leading")
        submitJob()
        repeat((LASTING_TASK_TIME - ELECTION_TIME).inWholeSeconds.toInt()) {
            run(1.seconds)
            submitJob()
        }

        assertTrue(begun[0].hasEnded)
        assertTrue(stepDowns > 0)
    }

    /** A commit between rejections shows that the leader makes progress. */
    @Test
    fun aRejectedBatchNowAndThenDoesNotEndTheLeadership() {
        lead(term = 2)
        repeat(LASTING_TASK_TIME.inWholeSeconds.toInt()) {
            outcome = if (it % 2 == 0) CommitOutcome.Rejected("too_large") else CommitOutcome.Committed
            submitJob()
            run(1.seconds)
        }
        assertEquals(2, lifecycle.current?.term)
        assertEquals(0, stepDowns)
    }

    /** A coordinator without ticks renews no lease and detects no silent worker. */
    @Test
    fun aLeaderWhoseTicksHaveEndedKeepsItsRole() {
        lead(term = 2)
        repeat(8) {
            now += COMPARISON
            lifecycle.update()
        }
        assertTrue(begun[0].hasEnded)
        assertTrue(stepDowns > 0)
    }

    /** The request to step down may be lost, or find no successor. */
    @Test
    fun aLeaderThatCannotBeginAsksOnlyOnceToStepDown() {
        isBarrierReached = false
        lead(term = 2)
        run(7.5.seconds)
        assertTrue(stepDowns >= 2, "$stepDowns requests")
    }

    /** A state on which every leader fails must not turn into a series of elections. */
    @Test
    fun aFailureThatEveryLeaderMeetsChangesTheLeaderWithoutAPause() {
        createFailure = IllegalStateException("unreadable state")
        var term = 2L
        val end = now + 10.seconds
        while (now < end) {
            val before = stepDowns
            lead(term)
            while (stepDowns == before && now < end) {
                now += TICK
                lifecycle.update()
            }
            status = statusOf(ReplicaRole.FOLLOWER, term)
            lifecycle.update()
            term += 2
            now += 20.milliseconds
        }
        val terms = (term - 2) / 2
        assertTrue(terms <= 5, "led in $terms terms within 10 s")
    }

    /** A group of one has no other leader; it has to work again once its disk does. */
    @Test
    fun aStalledDiskEndsTheOnlyMemberThatCanLead() {
        lead(term = 2)
        var settle: (CommitOutcome) -> Unit = { }
        commit = { done -> settle = done }
        val replies = submitJob()
        run(6.seconds)
        assertTrue(stepDowns > 0)
        settle(CommitOutcome.Committed)
        commit = { done -> done(CommitOutcome.Committed) }
        run(1.seconds)
        stepDowns = 0
        run(20.seconds)

        assertEquals(2, lifecycle.current?.term)
        assertEquals(listOf<Reply>(Reply.Accepted), replies)
        assertEquals(0, stepDowns)
        assertNull(fatal)
    }

    /** A batch that is too large is refused once, and a quiet group has nothing else to commit. */
    @Test
    fun aSingleRejectionEndsAQuietLeadership() {
        lead(term = 2)
        outcome = CommitOutcome.Rejected("too_large")
        submitJob()
        outcome = CommitOutcome.Committed
        run(20.seconds)

        assertEquals(2, lifecycle.current?.term)
        assertEquals(0, stepDowns)
    }

    /** The answer to a barrier that was given up must not begin a second leadership with the same fencing token. */
    @Test
    fun twoAnswersToBarriersBeginTwoLeadershipsInOneTerm() {
        val answers = ArrayList<(Boolean) -> Unit>()
        barrier = { answers.add(it) }
        lead(term = 2)
        run(2.seconds)
        assertTrue(answers.size > 1)
        answers[0](true)
        lifecycle.fail(2, "test")
        answers[1](true)
        assertEquals(1, begun.size)
    }

    /** A process that was suspended has made no progress, and need not have. */
    @Test
    fun aSuspensionCountsAsTimeWithoutProgress() {
        lead(term = 2)
        outcome = null
        submitJob()
        now += 20.seconds
        resumedAt = now
        lifecycle.current?.tick()
        lifecycle.update()
        assertEquals(2, lifecycle.current?.term)
    }

    private companion object {
        val TICK = 100.milliseconds
        val COMPARISON = 500.milliseconds

        /** From the users' rules: a change is acknowledged within this time while the group is undisturbed. */
        val CONFIGURATION_ACK_TIME = 4.seconds

        /** From the users' rules: a lasting task runs again within this time after its last run. */
        val LASTING_TASK_TIME = 9.seconds

        /** Longest election timeout, and the time from then until the next leadership has begun. */
        val ELECTION_TIME = 2.seconds
        val QUEUE = Queue(QueueName("q"), "host", "/q/", ServiceId("s"), attempts = 1, timeoutMs = 1_000)
    }

    private object UnreadableList : AbstractList<ListedVm>() {
        override val size = 1

        override fun get(index: Int): ListedVm = error("no element can be read")
    }
}
