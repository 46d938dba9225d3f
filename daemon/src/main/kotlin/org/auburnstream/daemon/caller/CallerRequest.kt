package org.auburnstream.daemon.caller

import io.ktor.http.HttpMethod
import org.auburnstream.daemon.target.HttpHeader
import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency

/**
 * A caller's request, read whole.
 *
 * @property path path and query for the target, beginning with a slash.
 * @property arrived when its head was read.
 * @property deadline time by which its answer must be complete.
 * @property headers fields that go on to the target unchanged.
 */
public class CallerRequest(
    public val id: RequestId,
    public val service: ServiceId,
    public val method: HttpMethod,
    public val path: String,
    public val arrived: MonotonicTime,
    public val deadline: MonotonicTime,
    public val team: TeamId,
    public val urgency: Urgency,
    public val key: IdempotencyKey?,
    public val traceparent: String?,
    public val headers: List<HttpHeader>,
    public val body: ByteArray,
) {
    /** Whether running the request twice does no harm, by its method (RFC 9110, section 9.2.2). */
    public val idempotent: Boolean get() = method in IdempotentMethods

    private companion object {
        val IdempotentMethods =
            setOf(HttpMethod.Get, HttpMethod.Head, HttpMethod.Put, HttpMethod.Delete, HttpMethod.Options)
    }
}
