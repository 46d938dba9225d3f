package org.auburnstream.dispatch.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request with its whole body.
 *
 * @property target path with query, as sent.
 * @property headers names in lower case; of a repeated name the last value counts.
 */
@Serializable
public class HttpRequest(
    @SerialName("m") public val method: String,
    @SerialName("t") public val target: String,
    @SerialName("h") public val headers: Map<String, String> = emptyMap(),
    @SerialName("b") public val body: ByteArray = EMPTY,
) {
    /** Path without the query. */
    public val path: String
        get() = target.substringBefore('?')

    /** Host that the request names, without the port; empty if it names none. */
    public val host: String
        get() = headers["host"]?.substringBefore(':')?.lowercase().orEmpty()

    /** Returns the parameter [name] of the query, or null. */
    public fun parameter(name: String): String? = target.substringAfter('?', "")
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
}

/** An answer with its whole body. */
@Serializable
public class HttpResponse(
    @SerialName("s") public val status: Int,
    @SerialName("b") public val body: ByteArray = EMPTY,
    @SerialName("h") public val headers: Map<String, String> = emptyMap(),
) {
    public companion object {
        /** An answer whose body is JSON [text]. */
        public fun json(status: Int, text: String, headers: Map<String, String> = emptyMap()): HttpResponse =
            HttpResponse(status, text.encodeToByteArray(), headers + ("content-type" to "application/json"))
    }
}

private val EMPTY = ByteArray(0)
