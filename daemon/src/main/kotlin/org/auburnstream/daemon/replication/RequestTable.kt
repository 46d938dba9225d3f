package org.auburnstream.daemon.replication

import org.auburnstream.model.DaemonId
import org.auburnstream.model.MonotonicTime
import kotlin.time.Duration

/** Requests of other daemons that this replica took as a leader, so that a copy is not executed again. */
internal class RequestTable(private val retention: Duration, private val capacity: Int) {
    private val records = LinkedHashMap<RequestKey, RequestRecord>()

    /** Returns the record of [key], or null if the request is new. */
    fun find(key: RequestKey): RequestRecord? = records[key]

    /** Adds a request that is taken at [now], or returns null if the table is full. */
    fun add(key: RequestKey, now: MonotonicTime): RequestRecord? {
        expire(now)
        if (records.size >= capacity) return null
        return RequestRecord(now).also { records[key] = it }
    }

    private fun expire(now: MonotonicTime) {
        val iterator = records.values.iterator()
        while (iterator.hasNext()) {
            if (now - iterator.next().takenAt < retention) return
            iterator.remove()
        }
    }
}

/** Identifies a request among those of all daemons and their processes. */
internal data class RequestKey(val from: DaemonId, val process: Long, val correlation: Long)

/** Request that was taken, with its [reply] once it is known. */
internal class RequestRecord(val takenAt: MonotonicTime) {
    var reply: ReplyBody? = null
}
