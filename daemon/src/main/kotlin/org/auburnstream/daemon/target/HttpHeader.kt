package org.auburnstream.daemon.target

import io.ktor.http.cio.HttpHeadersMap

/** One header field of a request or an answer. */
public data class HttpHeader(val name: String, val value: String)

/** Header fields with a meaning of their own between callers, daemons and targets. */
public object RequestHeaders {
    /** Milliseconds left until the caller gives up; from callers, and on to targets less the time spent. */
    public const val DEADLINE_MS: String = "X-Request-Deadline-Ms"

    /** Caller's key that makes resends recognizable. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** Urgency class: `batch`, `normal` or `urgent`. */
    public const val URGENCY: String = "X-Urgency"

    /** Caller's team. */
    public const val TEAM: String = "X-Team"

    /** Id of the exchange; a target that repeats it in its answer may be sent further requests on the connection. */
    public const val REQUEST_ID: String = "X-Request-Id"

    /** `true` in an answer of status 503 by which a target says that it did not run the request. */
    public const val NOT_RUN: String = "X-Not-Run"

    /** W3C trace context. */
    public const val TRACEPARENT: String = "traceparent"

    private val hopByHop =
        setOf(
            "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect",
        )

    private val rewritten = setOf(DEADLINE_MS, REQUEST_ID, TRACEPARENT).map { it.lowercase() }.toSet()

    /** Returns the fields of [headers] that go on to the next hop unchanged. */
    internal fun endToEnd(headers: HttpHeadersMap): List<HttpHeader> {
        val nominated = headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
        return headers
            .offsets()
            .map { HttpHeader(headers.nameAtOffset(it).toString(), headers.valueAtOffset(it).toString()) }
            .filterNot {
                it.name.lowercase().let { name -> name in hopByHop || name in rewritten || name in nominated }
            }
            .toList()
    }
}
