package org.auburnstream.daemon

import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.peer.LinkEvent
import java.util.concurrent.atomic.AtomicLong

/** Logs the events on the links between daemons and counts the traffic. */
internal class LinkEventLog(private val log: EventLog = EventLog.of("peer")) {
    private val sentMessages = AtomicLong()
    private val sentBytes = AtomicLong()
    private val receivedMessages = AtomicLong()
    private val receivedBytes = AtomicLong()
    private val droppedMessages = AtomicLong()

    /** Traffic since this daemon started. */
    val traffic: LinkTraffic
        get() =
            LinkTraffic(
                sentMessages = sentMessages.get(),
                sentBytes = sentBytes.get(),
                receivedMessages = receivedMessages.get(),
                receivedBytes = receivedBytes.get(),
                droppedMessages = droppedMessages.get(),
            )

    fun onEvent(event: LinkEvent) {
        when (event) {
            is LinkEvent.Opened -> {
                log.info("link_opened", LogKeys.Peer of event.peer)
            }

            is LinkEvent.Closed -> {
                log.warn("link_closed", LogKeys.Peer of event.peer)
            }

            is LinkEvent.Refused -> {
                log.warn("link_refused", LogKeys.Detail of event.reason.toString())
            }

            is LinkEvent.InvalidDataReceived -> {
                log.warn("link_garbage", LogKeys.Reason of event.cause)
            }

            is LinkEvent.Dropped -> {
                droppedMessages.incrementAndGet()
                log.debug("message_dropped", LogKeys.Peer of event.peer)
            }

            is LinkEvent.Sent -> {
                sentMessages.incrementAndGet()
                sentBytes.addAndGet(event.bytes.toLong())
            }

            is LinkEvent.Received -> {
                receivedMessages.incrementAndGet()
                receivedBytes.addAndGet(event.bytes.toLong())
            }
        }
    }
}

/** Number of messages and bytes, including frame headers, on the links to and from the other daemons. */
internal data class LinkTraffic(
    val sentMessages: Long,
    val sentBytes: Long,
    val receivedMessages: Long,
    val receivedBytes: Long,
    val droppedMessages: Long,
)
