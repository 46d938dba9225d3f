package org.auburnstream.daemon.peer

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/** Version of the protocol between daemons; daemons of different versions refuse each other's links. */
public const val PEER_PROTOCOL_VERSION: Int = 1

/** First frame on a link, sent by the daemon that opened it. */
@Serializable
internal data class PeerHello(val version: Int, val from: DaemonId, val to: DaemonId)

/** Answer to a [PeerHello]; the link carries messages only after [Accepted]. */
@Serializable
internal sealed interface PeerHelloReply {
    /** The link may carry messages. */
    @Serializable
    data object Accepted : PeerHelloReply

    /** The link is closed after this frame. */
    @Serializable
    data class Refused(val reason: LinkRefusal) : PeerHelloReply
}

/** Why a daemon refuses a link. */
@Serializable
public sealed interface LinkRefusal {
    /** The other daemon speaks another version of the protocol. */
    @Serializable
    public data class VersionMismatch(val offered: Int, val supported: Int) : LinkRefusal

    /** The link was opened to another daemon than the one that listens here. */
    @Serializable
    public data class WrongDaemon(val expected: DaemonId, val actual: DaemonId) : LinkRefusal

    /** The opening daemon is not among the configured peers. */
    @Serializable
    public data class UnknownPeer(val id: DaemonId) : LinkRefusal
}

/** Decides whether the daemon [self] with the configured [peers] accepts this hello. */
internal fun PeerHello.check(self: DaemonId, peers: Set<DaemonId>): PeerHelloReply = when {
    version != PEER_PROTOCOL_VERSION ->
        PeerHelloReply.Refused(LinkRefusal.VersionMismatch(offered = version, supported = PEER_PROTOCOL_VERSION))

    to != self -> PeerHelloReply.Refused(LinkRefusal.WrongDaemon(expected = to, actual = self))

    from !in peers -> PeerHelloReply.Refused(LinkRefusal.UnknownPeer(from))

    else -> PeerHelloReply.Accepted
}
