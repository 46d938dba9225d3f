package org.auburnstream.scheduling

/**
 * Fencing token of an order to a worker, which refuses orders with a lower one than it has seen.
 *
 * Tokens are ordered by the leader's term and then by the epoch within it. An order names a worker and not its
 * incarnation, and an incarnation that has just started has seen no token. A leader therefore begins a new epoch for
 * each incarnation that it learns of: once that incarnation has answered a query of the epoch, it carries out nothing
 * that was sent to the worker before.
 */
@JvmInline
public value class OrderFence private constructor(public val value: Long) : Comparable<OrderFence> {
    override fun compareTo(other: OrderFence): Int = value.compareTo(other.value)

    override fun toString(): String = "${value shr EPOCH_BITS}.${value and MAX_EPOCH.toLong()}"

    public companion object {
        private const val EPOCH_BITS = 24

        /** Largest epoch of a term. */
        internal const val MAX_EPOCH: Int = (1 shl EPOCH_BITS) - 1

        // Receivers may read a token as a double, which holds whole numbers of up to 53 bits.
        private const val MAX_TERM = (1L shl (53 - EPOCH_BITS)) - 1

        /**
         * Returns the token of [epoch] in [term].
         *
         * @throws IllegalArgumentException if [term] is not in 0..2^29-1 or [epoch] not in 0..2^24-1.
         */
        public fun of(term: Long, epoch: Int): OrderFence {
            require(term in 0..MAX_TERM) { "term is $term; a fencing token holds at most $MAX_TERM" }
            require(epoch in 0..MAX_EPOCH) { "epoch is $epoch in term $term; a fencing token holds at most $MAX_EPOCH" }
            return OrderFence((term shl EPOCH_BITS) or epoch.toLong())
        }
    }
}
