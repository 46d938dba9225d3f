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
    private var openRequests = 0

    /** Looks up a copy of [request] that was taken before, and otherwise takes it if there is room. */
    fun register(from: DaemonId, request: GroupMessage.Request, now: MonotonicTime): RequestRegistration {
        val sender = senderOf(RequestSender(from, request.processId), now)
        forgetSettled(sender, request.settledBelow)
        if (request.correlation < sender.settledBelow) return RequestRegistration.Settled
        sender.requests[request.correlation]?.let { return RequestRegistration.Duplicate(it) }
        if (openRequests >= capacity) return RequestRegistration.Full
        openRequests += 1
        return RequestRegistration.New(RequestRecord().also { sender.requests[request.correlation] = it })
    }

    /** Returns the record of a copy of [request], or null if it was not taken. */
    fun find(from: DaemonId, request: GroupMessage.Request): RequestRecord? =
        senders[RequestSender(from, request.processId)]?.requests?.get(request.correlation)

    private fun senderOf(key: RequestSender, now: MonotonicTime): SenderRecord {
        senders[key]?.let { return it.apply { lastContact = now } }
        val expired = senders.filterValues { now - it.lastContact >= retention }
        openRequests -= expired.values.sumOf { it.requests.size }
        senders.keys.removeAll(expired.keys)
        return SenderRecord(now).also { senders[key] = it }
    }

    private fun forgetSettled(sender: SenderRecord, below: Long) {
        if (below <= sender.settledBelow) return
        sender.settledBelow = below
        val before = sender.requests.size
        sender.requests.keys.removeAll { it < below }
        openRequests -= before - sender.requests.size
    }

    private data class RequestSender(val from: DaemonId, val processId: Long)

    private class SenderRecord(var lastContact: MonotonicTime) {
        var settledBelow = 0L
        val requests = HashMap<Long, RequestRecord>()
    }
}

/** Request that was taken, with its [reply] once it is known. */
internal class RequestRecord {
    var reply: ReplyBody? = null
}

/** Whether a request is to be executed. */
internal sealed interface RequestRegistration {
    /** The request is new and was recorded as [record]. */
    class New(val record: RequestRecord) : RequestRegistration

    /** A copy was taken before. */
    class Duplicate(val record: RequestRecord) : RequestRegistration

    /** The sender does not wait for the request any more. */
    data object Settled : RequestRegistration

    /** Too many requests are open. */
    data object Full : RequestRegistration
}
