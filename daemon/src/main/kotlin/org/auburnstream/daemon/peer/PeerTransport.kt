package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/**
 * Sends messages between daemons without a delivery guarantee.
 *
 * A message may be lost, delayed or duplicated, but is never altered. Users that need a reply put a correlation id into
 * their messages and resend them.
 */
public interface PeerTransport {
    /** Id of this daemon. */
    public val self: DaemonId

    /** Ids of the other daemons whose address this daemon knows. */
    public val peers: Set<DaemonId>

    /**
     * Queues [payload] for the daemon [to] and returns immediately.
     *
     * @return false if the message was dropped because the peer is unknown, the payload is too large or the peer's
     *   bounded queue is full.
     */
    public fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean

    /**
     * Registers [handler] as the only handler of [channel].
     *
     * The handler must not block the receiving coroutine for long.
     */
    public fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit)
}

/**
 * Kind of traffic on a link between daemons.
 *
 * Each channel has its own message types, encoded as CBOR. The ordinal is sent as the kind of a frame.
 */
public enum class PeerChannel {
    /** Elections, log entries and snapshots of a replicated group. */
    CONSENSUS,

    /** Proposals and reads that a daemon forwards to the leader of a replicated group. */
    PROPOSAL,

    /** Settings leases and roll-out acknowledgements. */
    LEASE,

    /** Credits for slots and connections of targets. */
    CREDIT,

    /** Same as [CONSENSUS], for the replicated group that records idempotency keys. */
    LEDGER_CONSENSUS,

    /** Same as [PROPOSAL], for the replicated group that records idempotency keys. */
    LEDGER_PROPOSAL,

    /** Fleet reports between daemons: requests in progress, load and announcements of targets. */
    FLEET,
}
