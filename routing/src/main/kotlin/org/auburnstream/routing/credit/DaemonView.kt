package org.auburnstream.routing.credit

import org.auburnstream.model.DaemonId
import org.auburnstream.model.VmId

/**
 * Versioned membership view: the configured daemons and those of them that hold a settings lease.
 *
 * A daemon may be excluded only after its lease has expired; while excluded, it sends nothing to targets.
 *
 * @property version number of the view; increases with each change.
 * @property configured all daemons that may use targets; identical on every daemon.
 * @property live daemons of [configured] whose lease has not expired.
 * @property leased whether [live] is derived from leases, so that the share of a daemon without a lease can be lent.
 */
public data class DaemonView(
    val version: Long,
    val configured: Set<DaemonId>,
    val live: Set<DaemonId> = configured,
    val leased: Boolean = false,
) {
    /**
     * Returns the daemon that grants the slots of [vm], by rendezvous hashing over the live daemons.
     *
     * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
     */
    public fun allocator(vm: VmId): DaemonId? = live.maxByOrNull { weight(it, vm) }

    /** Returns the static share of each configured daemon in a target with [slots] slots. */
    public fun share(slots: Int): Int = slots / configured.size.coerceAtLeast(1)

    private fun weight(daemon: DaemonId, vm: VmId): Long {
        val bits = daemon.value.hashCode().toLong() shl Int.SIZE_BITS xor vm.value.hashCode().toLong()
        return mix(bits)
    }
}

/** Mixes [bits] with the finalizer of SplitMix64, which distributes similar inputs over all 64 bits. */
private fun mix(bits: Long): Long {
    var z = bits + GOLDEN_GAMMA
    z = (z xor (z ushr FIRST_SHIFT)) * FIRST_FACTOR
    z = (z xor (z ushr SECOND_SHIFT)) * SECOND_FACTOR
    return z xor (z ushr LAST_SHIFT)
}

private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val LAST_SHIFT = 31
