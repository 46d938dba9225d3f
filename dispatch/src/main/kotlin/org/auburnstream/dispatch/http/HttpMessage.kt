package org.auburnstream.dispatch.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An HTTP request with its complete body.
 *
 * @property path and query, exactly as in the request line.
 * @property headers header values by lower-case name; the last value of a repeated header wins.
 */
@Serializable
public class HttpRequest(
    @SerialName("m") public val method: String,
    @SerialName("t") public val target: String,
    @SerialName("h") public val headers: Map<String, String> = emptyMap(),
    @SerialName("b") public val body: ByteArray = EMPTY,
) {
    /** Path of [target] without the query. */
    public val path: String
        get() = target.substringBefore('?')

    /** Value of the `host` header in lower case and without the port, or an empty string if it is absent. */
    public val host: String
        get() = headers["host"]?.substringBefore(':')?.lowercase().orEmpty()

    /** Returns the raw value of the query parameter [name], or null if it is absent. */
    public fun parameter(name: String): String? = target.substringAfter('?', "")
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
}

/** An HTTP response with its complete body. */
@Serializable
public class HttpResponse(
    @SerialName("s") public val status: Int,
    @SerialName("b") public val body: ByteArray = EMPTY,
    @SerialName("h") public val headers: Map<String, String> = emptyMap(),
) {
    public companion object {
        /** Returns a response whose body is the JSON document [text]. */
        public fun json(status: Int, text: String, headers: Map<String, String> = emptyMap()): HttpResponse =
            HttpResponse(status, text.encodeToByteArray(), headers + ("content-type" to "application/json"))
    }
}

private val EMPTY = ByteArray(0)
