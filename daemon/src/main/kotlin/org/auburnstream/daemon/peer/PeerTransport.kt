package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/**
 * Sends messages between daemons, best effort: a message may be lost, late or doubled, never altered.
 *
 * Users that need an answer correlate by an id inside their own messages and resend.
 */
public interface PeerTransport {
    /** Id of this daemon. */
    public val self: DaemonId

    /** Ids of the other daemons that this daemon has an address for. */
    public val peers: Set<DaemonId>

    /**
     * Queues [payload] for the daemon [to] and returns at once.
     *
     * @return false if the message was dropped: the peer is unknown, or its bounded queue is full.
     */
    public fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean

    /** Registers the only [handler] of [channel]; it must not block the receiving coroutine for long. */
    public fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit)
}

/** Kind of traffic on a link between daemons; each has its own message types, encoded as CBOR. */
public enum class PeerChannel {
    /** Elections, log entries and snapshots of a replicated group. */
    CONSENSUS,

    /** Proposals and reads that a daemon forwards to the leader of a replicated group. */
    PROPOSAL,

    /** Settings leases and roll-out acknowledgements. */
    LEASE,

    /** Slot and connection credits of targets. */
    CREDIT,

    /** Like [CONSENSUS], for the group that records idempotency keys. */
    LEDGER_CONSENSUS,

    /** Like [PROPOSAL], for the group that records idempotency keys. */
    LEDGER_PROPOSAL,

    /** Reports of the fleet: requests in progress, load and announcements. */
    FLEET,
}
