package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/** Event on the connections between daemons, reported for logs and metrics. */
public sealed interface LinkEvent {
    /** The connection to [peer] was accepted; messages can be sent on it. */
    public data class Opened(val peer: DaemonId) : LinkEvent

    /** The connection to [peer] ended; this daemon reconnects. */
    public data class Closed(val peer: DaemonId) : LinkEvent

    /** A [PeerHello] was refused, either by this daemon or by its peer. */
    public data class Refused(val reason: LinkRefusal) : LinkEvent

    /** An incoming connection sent data that violates the protocol and was closed. */
    public data class InvalidDataReceived(val cause: InvalidDataCause) : LinkEvent

    /** A message for [peer] was dropped because it was larger than [MAX_FRAME_BYTES] or the link's queue was full. */
    public data class Dropped(val peer: DaemonId, val channel: PeerChannel) : LinkEvent

    /** A message was sent; [bytes] includes the frame header. */
    public data class Sent(val peer: DaemonId, val channel: PeerChannel, val bytes: Int) : LinkEvent

    /** A message was received; [bytes] includes the frame header. */
    public data class Received(val peer: DaemonId, val channel: PeerChannel, val bytes: Int) : LinkEvent
}

/** Reason why an incoming connection was closed as invalid. */
public enum class InvalidDataCause {
    /** The length prefix was out of range. */
    LENGTH_OUT_OF_RANGE,

    /** The first frame was not a valid [PeerHello], or it did not arrive in time. */
    NO_HELLO,

    /** The frame's kind is not a known [PeerChannel]. */
    UNKNOWN_KIND,

    /** The handler of the channel could not decode the payload. */
    UNREADABLE_MESSAGE,
}
