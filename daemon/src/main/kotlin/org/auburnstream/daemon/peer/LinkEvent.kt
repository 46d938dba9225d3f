package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/** Something that happened on the links between daemons, for logs and metrics. */
public sealed interface LinkEvent {
    /** The link to [peer] carries messages. */
    public data class Opened(val peer: DaemonId) : LinkEvent

    /** The link to [peer] ended and will be opened again. */
    public data class Closed(val peer: DaemonId) : LinkEvent

    /** A hello was refused, by this daemon or by the other one. */
    public data class Refused(val reason: LinkRefusal) : LinkEvent

    /** An incoming link sent something that is not a frame of the protocol, and was closed. */
    public data class InvalidDataReceived(val cause: InvalidDataCause) : LinkEvent

    /** A message for [peer] was dropped because the link's queue was full. */
    public data class Dropped(val peer: DaemonId, val channel: PeerChannel) : LinkEvent

    /** A message of [bytes] on the wire was sent. */
    public data class Sent(val peer: DaemonId, val channel: PeerChannel, val bytes: Int) : LinkEvent

    /** A message of [bytes] on the wire was received. */
    public data class Received(val peer: DaemonId, val channel: PeerChannel, val bytes: Int) : LinkEvent
}

/** What made an incoming link unreadable. */
public enum class InvalidDataCause {
    /** The length prefix was out of range. */
    LENGTH_OUT_OF_RANGE,

    /** The first frame was not a hello, or it did not arrive in time. */
    NO_HELLO,

    /** The frame's kind is not known. */
    UNKNOWN_KIND,

    /** The payload is not a message of its channel. */
    UNREADABLE_MESSAGE,
}
