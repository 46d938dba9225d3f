package org.auburnstream.daemon.replication

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/**
 * Records the requests that this replica accepted from other daemons as the leader, to detect duplicates.
 *
 * Each request states which earlier requests of its sender are settled. Records of settled requests are removed, and
 * late duplicates of them are ignored.
 *
 * @property retention time without a request after which a sender is removed.
 * @property capacity maximum number of open requests of all senders.
 */
internal class RequestTable(private val retention: Duration, private val capacity: Int) {
    private val senders = HashMap<RequestSender, SenderRecord>()
    private var openRequests = 0

    /** Finds an earlier copy of [request], or records [request] as new if [capacity] permits. */
    fun register(from: DaemonId, request: GroupMessage.Request, now: MonotonicTime): RequestRegistration {
        val sender = senderOf(RequestSender(from, request.processId), now)
        removeSettled(sender, request.settledBelow)
        if (request.correlation < sender.settledBelow) return RequestRegistration.Settled
        sender.requests[request.correlation]?.let { return RequestRegistration.Duplicate(it) }
        if (openRequests >= capacity) return RequestRegistration.Full
        openRequests += 1
        return RequestRegistration.New(RequestRecord().also { sender.requests[request.correlation] = it })
    }

    /** Returns the record of an earlier copy of [request], or null if there is none. */
    fun find(from: DaemonId, request: GroupMessage.Request): RequestRecord? =
        senders[RequestSender(from, request.processId)]?.requests?.get(request.correlation)

    private fun senderOf(key: RequestSender, now: MonotonicTime): SenderRecord {
        senders[key]?.let { return it.apply { lastContact = now } }
        val expired = senders.filterValues { now - it.lastContact >= retention }
        openRequests -= expired.values.sumOf { it.requests.size }
        senders.keys.removeAll(expired.keys)
        return SenderRecord(now).also { senders[key] = it }
    }

    private fun removeSettled(sender: SenderRecord, below: Long) {
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

/** Record of an accepted request and its [reply], which is null until the request completes. */
internal class RequestRecord {
    var reply: ReplyBody? = null
}

/** Result of registering a request, which decides whether it is executed. */
internal sealed interface RequestRegistration {
    /** The request is new and must be executed; it was recorded as [record]. */
    class New(val record: RequestRecord) : RequestRegistration

    /** An earlier copy of the request was accepted. */
    class Duplicate(val record: RequestRecord) : RequestRegistration

    /** The sender no longer awaits a reply to the request. */
    data object Settled : RequestRegistration

    /** The maximum number of open requests is reached. */
    data object Full : RequestRegistration
}
