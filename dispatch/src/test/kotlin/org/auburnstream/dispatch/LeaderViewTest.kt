package org.auburnstream.dispatch

import org.auburnstream.model.DaemonId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class LeaderViewTest {
    private val connected = HashSet<DaemonId>()
    private val view = LeaderView(connected::contains)
    private val a = DaemonId("a")
    private val b = DaemonId("b")
    private val c = DaemonId("c")

    private fun publish(from: DaemonId, term: Long, leader: DaemonId?) {
        connected += from
        view.update(from, GroupStatus(term, leader, members = listOf(a, b, c)))
    }

    /** A candidate publishes a term that no other process has heard of, and is lost before it asks for votes. */
    @Test
    fun theTermOfACandidateThatIsGoneHidesTheLeader() {
        publish(a, term = 4, leader = b)
        publish(c, term = 6, leader = null)
        assertNull(view.newest.leader)

        connected -= c
        publish(b, term = 5, leader = b)
        assertEquals(b, view.newest.leader)
    }

    @Test
    fun aFollowerNamesTheLeaderBeforeOthersDo() {
        publish(a, term = 5, leader = null)
        publish(b, term = 5, leader = c)
        assertEquals(c, view.newest.leader)
    }

    /** While all links are down for a moment, the leader that was known is the best guess. */
    @Test
    fun theLeaderIsForgottenWhileNoLinkIsOpen() {
        publish(a, term = 5, leader = b)
        connected.clear()
        assertEquals(b, view.newest.leader)
    }

    @Test
    fun noLeaderIsKnownBeforeTheFirstStatus() {
        assertNull(view.newest.leader)
    }
}
