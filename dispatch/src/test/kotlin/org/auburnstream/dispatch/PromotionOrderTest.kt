package org.auburnstream.dispatch

import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.Member
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MemberRole
import org.auburnstream.model.DaemonId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against a group that stays short of voters though a learner could become one. */
class PromotionOrderTest {
    private val departed = learner("departed")
    private val healthy = learner("healthy")
    private val configuration = Configuration(listOf(departed, healthy, learner("entry", durable = false)))
    private val order = PromotionOrder()

    @Test
    fun departedLearnerKeepsOthersFromGettingAVote() {
        assertEquals(departed, order.next(configuration))
        order.refused(departed.id)

        assertEquals(healthy, order.next(configuration))
    }

    @Test
    fun refusedLearnerIsNeverTriedAgain() {
        order.refused(departed.id)
        order.refused(healthy.id)

        assertEquals(departed, order.next(configuration))
    }

    @Test
    fun memberWithoutDiskGetsAVote() {
        assertNull(order.next(Configuration(listOf(learner("entry", durable = false)))))
    }

    private fun learner(name: String, durable: Boolean = true) =
        Member(MemberId(DaemonId(name), Incarnation(1)), durable = durable, role = MemberRole.LEARNER)
}
