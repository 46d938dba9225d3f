package org.auburnstream.control

import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a daemon that uses stale settings after a change is in force, and against a change that never comes
 * into force. Both can be caused by lost, late or duplicate lease messages, frozen processes and leader changes.
 */
class LeaseProtocolTest {
    private val policy = LeasePolicy(clockDrift = 0.0)
    private val daemon = DaemonId("d1")

    @Test
    fun `no daemon acts on stale settings and every change is in force within 6 s under 1000 fault schedules`() {
        for (seed in 0 until 1_000) {
            assertEquals(emptyList(), LeaseSimulation(seed).run(), "seed $seed")
        }
    }

    @Test
    fun `without faults a change is in force within a second`() {
        val simulation = LeaseSimulation(seed = 1, faults = false)
        assertEquals(emptyList(), simulation.run())
        val late = simulation.rollOutTimes.drop(LeasePolicy().duration.inWholeSeconds.toInt() * 2).count {
            it >
                1.seconds
        }
        assertEquals(0, late, simulation.rollOutTimes.toString())
    }

    @Test
    fun `a lease counts from sending the renewal and expires while the process is frozen`() {
        val lease = SettingsLease(incarnation = 7, policy)
        val renewal = lease.renew(at(0.seconds))
        lease.onGrant(grant(renewal, commit = 0))
        assertTrue(lease.isLive(at(2_999.milliseconds)))
        assertFalse(lease.isLive(at(3.seconds)))
        lease.onGrant(grant(renewal, commit = 0))
        assertFalse(lease.isLive(at(60.seconds)), "a duplicate grant must not extend the lease")
    }

    @Test
    fun `a grant takes effect only after everything committed before it is applied`() {
        val lease = SettingsLease(incarnation = 7, policy)
        lease.onGrant(grant(lease.renew(at(0.seconds)), commit = 5))
        assertNull(lease.expiry)
        lease.onApplied(LogIndex(4))
        assertNull(lease.expiry)
        lease.onApplied(LogIndex(5))
        assertEquals(at(3.seconds), lease.expiry)
    }

    @Test
    fun `answers to another process or to an unknown renewal are ignored`() {
        val lease = SettingsLease(incarnation = 7, policy)
        val renewal = lease.renew(at(0.seconds))
        lease.onGrant(grant(renewal.copy(incarnation = 8), commit = 0))
        lease.onGrant(grant(renewal.copy(sequence = 9), commit = 0))
        assertNull(lease.expiry)
    }

    @Test
    fun `renewals are sent at the interval, sooner without an answer and soonest after newer settings`() {
        val lease = SettingsLease(incarnation = 7, policy)
        val renewal = lease.renew(at(1.seconds))
        assertEquals(at(1_200.milliseconds), lease.nextRenewal())
        lease.onGrant(grant(renewal, commit = 0))
        assertEquals(at(1_500.milliseconds), lease.nextRenewal())
        lease.onApplied(LogIndex(3))
        assertEquals(at(1_050.milliseconds), lease.nextRenewal())
    }

    @Test
    fun `a leader without quorum contact for one lease duration grants nothing`() {
        val grantor = LeaseGrantor(policy).apply { onLeadershipAcquired(newTerm = 2, now = at(0.seconds)) }
        val renewal = LeaseMessage.Renewal(incarnation = 7, sequence = 1, appliedIndex = LogIndex(0))
        val proof = Leadership(term = 2, commitIndex = LogIndex(1), quorumContact = at(1.seconds))
        assertEquals(2.seconds, grantor.onRenewal(daemon, renewal, proof, at(2.seconds))?.duration)
        assertNull(grantor.onRenewal(daemon, renewal, proof, at(4.seconds)))
        assertNull(grantor.onRenewal(daemon, renewal, proof.copy(term = 1), at(2.seconds)))
    }

    @Test
    fun `a change waits for a daemon that has not acknowledged it and the progress names the daemon`() {
        val grantor = LeaseGrantor(policy).apply { onLeadershipAcquired(newTerm = 2, now = at(0.seconds)) }
        val rollOut = RollOutTracker(grantor, policy)
        renew(grantor, applied = 4, commit = 4, time = 10.seconds)
        rollOut.onCommitted(LogIndex(5), at(10.seconds))
        // The renewal does not acknowledge index 5, so the new grant has no effect yet, but the earlier lease is live.
        renew(grantor, applied = 4, commit = 5, time = 11.seconds)
        val waiting = rollOut.progress(LogIndex(5), at(12.seconds))
        assertFalse(waiting.inForce)
        assertEquals(listOf(BlockingDaemon(daemon, HoldCause.LEASE, 2.seconds)), waiting.heldBackBy)
        val done = rollOut.progress(LogIndex(5), at(13.seconds))
        assertEquals(RollOutProgress(true, 3.seconds, listOf(BlockingDaemon(daemon, HoldCause.LEASE, 3.seconds))), done)
        assertEquals(done, rollOut.progress(LogIndex(5), at(20.seconds)))
    }

    @Test
    fun `an acknowledgement puts a change in force at once`() {
        val grantor = LeaseGrantor(policy).apply { onLeadershipAcquired(newTerm = 2, now = at(0.seconds)) }
        val rollOut = RollOutTracker(grantor, policy)
        renew(grantor, applied = 4, commit = 4, time = 10.seconds)
        rollOut.onCommitted(LogIndex(5), at(10.seconds))
        assertFalse(rollOut.progress(LogIndex(5), at(10.seconds)).inForce)
        renew(grantor, applied = 5, commit = 5, time = 10_200.milliseconds)
        val done = rollOut.progress(LogIndex(5), at(10_200.milliseconds))
        assertEquals(listOf(BlockingDaemon(daemon, HoldCause.ACKNOWLEDGEMENT, 200.milliseconds)), done.heldBackBy)
    }

    @Test
    fun `a new leader waits for leases of earlier leaders for at most one lease duration after the commit`() {
        val grantor = LeaseGrantor(policy)
        val rollOut = RollOutTracker(grantor, policy)
        rollOut.onCommitted(LogIndex(5), at(8.seconds))
        grantor.onLeadershipAcquired(newTerm = 2, now = at(10.seconds))
        rollOut.onCommitted(LogIndex(6), at(10.seconds))
        assertEquals(listOf(null), rollOut.progress(LogIndex(5), at(10.seconds)).heldBackBy.map { it.daemon })
        assertTrue(rollOut.progress(LogIndex(5), at(11.seconds)).inForce)
        assertFalse(rollOut.progress(LogIndex(6), at(12_999.milliseconds)).inForce)
        assertTrue(rollOut.progress(LogIndex(6), at(13.seconds)).inForce)
        assertFalse(rollOut.progress(LogIndex(7), at(60.seconds)).inForce, "index 7 is not known to be committed")
    }

    private fun renew(grantor: LeaseGrantor, applied: Long, commit: Long, time: Duration) {
        val renewal = LeaseMessage.Renewal(incarnation = 7, sequence = 1, appliedIndex = LogIndex(applied))
        assertNotNull(grantor.onRenewal(daemon, renewal, Leadership(2, LogIndex(commit), at(time)), at(time)))
    }

    private fun grant(renewal: LeaseMessage.Renewal, commit: Long) =
        LeaseMessage.Grant(renewal.incarnation, renewal.sequence, 2, LogIndex(commit), 3.seconds)

    private fun at(time: Duration) = MonotonicTime.Zero + time
}
