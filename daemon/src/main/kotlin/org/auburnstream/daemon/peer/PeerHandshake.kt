package org.auburnstream.daemon.peer

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/** Version of the protocol between daemons; a daemon refuses links of daemons with another version. */
public const val PEER_PROTOCOL_VERSION: Int = 1

/**
 * First frame on a link, sent by the daemon that opened it.
 *
 * @property to daemon that the sender intends to reach.
 */
@Serializable
internal data class PeerHello(val version: Int, val from: DaemonId, val to: DaemonId)

/** Reply to a [PeerHello]; messages may be sent only after [Accepted]. */
@Serializable
internal sealed interface PeerHelloReply {
    /** The link is accepted; the daemon that opened it may send messages. */
    @Serializable
    data object Accepted : PeerHelloReply

    /** The link is refused and closed after this frame. */
    @Serializable
    data class Refused(val reason: LinkRefusal) : PeerHelloReply
}

/** Reason why a daemon refuses a link. */
@Serializable
public sealed interface LinkRefusal {
    /** The daemon that opened the link uses another version of the protocol. */
    @Serializable
    public data class VersionMismatch(val offered: Int, val supported: Int) : LinkRefusal

    /** The link was intended for the daemon [expected], but reached [actual]. */
    @Serializable
    public data class WrongDaemon(val expected: DaemonId, val actual: DaemonId) : LinkRefusal

    /** The daemon [id] that opened the link is not among the configured peers. */
    @Serializable
    public data class UnknownPeer(val id: DaemonId) : LinkRefusal
}

/** Returns the reply of the daemon [self] with the configured [peers] to this hello. */
internal fun PeerHello.check(self: DaemonId, peers: Set<DaemonId>): PeerHelloReply = when {
    version != PEER_PROTOCOL_VERSION ->
        PeerHelloReply.Refused(LinkRefusal.VersionMismatch(offered = version, supported = PEER_PROTOCOL_VERSION))

    to != self -> PeerHelloReply.Refused(LinkRefusal.WrongDaemon(expected = to, actual = self))

    from !in peers -> PeerHelloReply.Refused(LinkRefusal.UnknownPeer(from))

    else -> PeerHelloReply.Accepted
}
