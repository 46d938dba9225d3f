package org.auburnstream.daemon.replication

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Requests of other daemons that this replica took as a leader, so that a copy is not executed again.
 *
 * A sender tells which of its requests are settled; those are forgotten, and a late copy of one is ignored.
 *
 * @property retention time after which a sender that was not heard any more is forgotten.
 * @property capacity open requests of all senders together.
 */
internal class RequestTable(private val retention: Duration, private val capacity: Int) {
    private val senders = HashMap<RequestSender, SenderRecord>()
    private var open = 0

    /** Looks up a copy of [request] that was taken before, and otherwise takes it if there is room. */
    fun take(from: DaemonId, request: GroupMessage.Request, now: MonotonicTime): RequestTaking {
        val sender = senderOf(RequestSender(from, request.process), now)
        settle(sender, request.settledBelow)
        if (request.correlation < sender.settledBelow) return RequestTaking.Settled
        sender.requests[request.correlation]?.let { return RequestTaking.Known(it) }
        if (open >= capacity) return RequestTaking.Full
        open += 1
        return RequestTaking.New(RequestRecord().also { sender.requests[request.correlation] = it })
    }

    /** Returns the record of a copy of [request], or null if it was not taken. */
    fun find(from: DaemonId, request: GroupMessage.Request): RequestRecord? =
        senders[RequestSender(from, request.process)]?.requests?.get(request.correlation)

    private fun senderOf(key: RequestSender, now: MonotonicTime): SenderRecord {
        senders[key]?.let { return it.apply { lastHeard = now } }
        val silent = senders.filterValues { now - it.lastHeard >= retention }
        open -= silent.values.sumOf { it.requests.size }
        senders.keys.removeAll(silent.keys)
        return SenderRecord(now).also { senders[key] = it }
    }

    private fun settle(sender: SenderRecord, below: Long) {
        if (below <= sender.settledBelow) return
        sender.settledBelow = below
        val before = sender.requests.size
        sender.requests.keys.removeAll { it < below }
        open -= before - sender.requests.size
    }

    private data class RequestSender(val from: DaemonId, val process: Long)

    private class SenderRecord(var lastHeard: MonotonicTime) {
        var settledBelow = 0L
        val requests = HashMap<Long, RequestRecord>()
    }
}

/** Request that was taken, with its [reply] once it is known. */
internal class RequestRecord {
    var reply: ReplyBody? = null
}

/** Whether a request is to be executed. */
internal sealed interface RequestTaking {
    /** The request is new and was recorded as [record]. */
    class New(val record: RequestRecord) : RequestTaking

    /** A copy was taken before. */
    class Known(val record: RequestRecord) : RequestTaking

    /** The sender does not wait for the request any more. */
    data object Settled : RequestTaking

    /** Too many requests are open. */
    data object Full : RequestTaking
}
