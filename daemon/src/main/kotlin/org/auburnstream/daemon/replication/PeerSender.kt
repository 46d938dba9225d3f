package org.auburnstream.daemon.replication

import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.slf4j.LoggerFactory

/** Sends the messages of a replica; a message that [transport] fails to send counts as lost. */
internal class PeerSender(private val group: GroupId, private val transport: PeerTransport) {
    private val loggedFailures = HashSet<Pair<DaemonId, String>>()

    fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray) {
        try {
            transport.send(to, channel, payload)
        } catch (e: Exception) {
            log(to, e.toString())
        }
    }

    private fun log(to: DaemonId, cause: String) {
        if (loggedFailures.size >= MAX_LOGGED_FAILURES || !loggedFailures.add(to to cause)) return
        logger.warn("event=send_failed group={} peer={} cause=\"{}\"", group, to, cause)
    }

    private companion object {
        val logger = LoggerFactory.getLogger(PeerSender::class.java)

        /** A cause may contain a number that differs each time. */
        const val MAX_LOGGED_FAILURES = 100
    }
}
