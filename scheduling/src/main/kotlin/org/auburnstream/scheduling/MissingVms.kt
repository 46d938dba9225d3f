package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.VmId

/**
 * Decides whether VMs whose orders the platform refuses have left it for good.
 *
 * The platform may refuse the orders for a VM that has left as it does for one that is down, and then only its list
 * tells them apart. No single list shows that a VM has left, because entries move between pages while the list is read.
 * A VM counts as gone once [LISTS] whole lists in a row lack it, each requested after the one before had arrived, and
 * the platform has refused an order that was sent after the last of them. Any sign of the VM starts the count anew, and
 * so does a list that is not whole.
 */
internal class MissingVms {
    private val suspects = HashMap<VmId, Suspect>()

    /** Handles that the platform refused an order for [vm], so that the VM is looked for in its lists. */
    fun refused(vm: VmId, now: MonotonicTime) {
        suspects.getOrPut(vm) { Suspect(now) }.refusals += 1
    }

    /** Handles a sign that [vm] exists. */
    fun seen(vm: VmId) {
        suspects.remove(vm)
    }

    /** Whether a list is needed to tell whether [vm] is gone. */
    fun isSuspect(vm: VmId): Boolean = (suspects[vm]?.refusals ?: 0) >= REFUSALS_UNTIL_LIST

    /** Handles [listing], which arrived at [now]. */
    fun listed(listing: VmListing, now: MonotonicTime) {
        val present = listing.vms.mapTo(HashSet()) { it.vm }
        for ((vm, suspect) in suspects) {
            when {
                vm in present || !listing.isWhole -> suspect.restart(now)
                listing.requestedAt >= suspect.latestAt -> suspect.add(now)
            }
        }
    }

    /** Whether [vm] has left the platform, if an order sent at [sentAt] was refused. */
    fun isGone(vm: VmId, sentAt: MonotonicTime): Boolean =
        suspects[vm]?.let { it.lists >= LISTS && sentAt >= it.latestAt } ?: false

    /** A VM whose orders are refused; [latestAt] is when the latest list arrived or, before that, the first refusal. */
    private class Suspect(var latestAt: MonotonicTime) {
        var refusals = 0
        var lists = 0
            private set

        fun add(now: MonotonicTime) {
            lists += 1
            latestAt = now
        }

        fun restart(now: MonotonicTime) {
            lists = 0
            latestAt = now
        }
    }

    private companion object {
        /** A VM that is starting usually causes one refusal. */
        const val REFUSALS_UNTIL_LIST = 2

        /** Lists that miss a VM by chance only if it changes its place each time, across the page that is read next. */
        const val LISTS = 3
    }
}
