package org.auburnstream.daemon.target

import io.ktor.http.HttpMethod
import org.auburnstream.model.RequestId

/**
 * Request as it goes to a target.
 *
 * @property path path and query, beginning with a slash.
 * @property headers fields that go on unchanged.
 */
public class TargetRequest(
    public val id: RequestId,
    public val method: HttpMethod,
    public val path: String,
    public val headers: List<HttpHeader>,
    public val body: ByteArray,
    public val traceparent: String? = null,
)
