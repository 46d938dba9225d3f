package org.auburnstream.dispatch

import org.auburnstream.consensus.Configuration
import org.auburnstream.consensus.Member
import org.auburnstream.consensus.MemberId
import org.auburnstream.consensus.MemberRole

/**
 * Chooses the learner that a group with too few voters promotes next.
 *
 * A learner that has departed stays a member, and its promotion is refused each time. The one that was refused least
 * often is tried next, so that it does not keep the others from getting a vote.
 */
internal class PromotionOrder {
    private val refusals = HashMap<MemberId, Int>()

    /** Returns a learner with a disk, or null if there is none. */
    fun next(configuration: Configuration): Member? {
        val candidates = configuration.members.filter { it.role == MemberRole.LEARNER && it.durable }
        refusals.keys.retainAll(candidates.map { it.id }.toSet())
        return candidates.minByOrNull { refusals[it.id] ?: 0 }
    }

    /** Records that the promotion of [learner] was not completed. */
    fun refused(learner: MemberId) {
        refusals.merge(learner, 1, Int::plus)
    }
}
