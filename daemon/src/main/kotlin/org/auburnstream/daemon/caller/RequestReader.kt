package org.auburnstream.daemon.caller

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.daemon.http.ChunkedBody
import org.auburnstream.daemon.http.HeadTooLargeException
import org.auburnstream.daemon.http.HeadTruncatedException
import org.auburnstream.daemon.http.awaitHead
import org.auburnstream.daemon.target.RequestHeaders
import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.MAX_ID_LENGTH
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.isValidId
import org.auburnstream.routing.RoutingInput
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads the requests of one caller's connection, within the bounds of [settings]. */
internal class RequestReader(
    private val settings: CallerSettings,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val clock: () -> MonotonicTime,
    private val nextId: () -> RequestId,
) {
    /** Waits for the next request. */
    suspend fun read(): ReadResult {
        val begun = withTimeoutOrNull(settings.idleTimeout) { input.awaitContent() } ?: return ReadResult.Ended
        if (!begun) return ReadResult.Ended
        return withTimeoutOrNull(settings.readTimeout) { readBegun() } ?: ReadResult.Invalid(RequestFault.READ_TIMEOUT)
    }

    private suspend fun readBegun(): ReadResult = try {
        val head = if (awaitHead(input, settings.headBytes)) parseRequest(input) else null
        head?.use { read(it) } ?: ReadResult.Ended
    } catch (e: CancellationException) {
        throw e
    } catch (e: InvalidRequestException) {
        ReadResult.Invalid(e.fault)
    } catch (e: HeadTooLargeException) {
        ReadResult.Invalid(RequestFault.HEAD_TOO_LARGE)
    } catch (e: HeadTruncatedException) {
        ReadResult.Ended
    } catch (e: Exception) {
        ReadResult.Invalid(RequestFault.MALFORMED_HEAD)
    }

    private suspend fun read(head: Request): ReadResult {
        val arrived = clock()
        val headers = head.headers
        val target = ServicePath.parse(head.uri.toString()) ?: invalid(RequestFault.INVALID_PATH)
        val request =
            CallerRequest(
                id = nextId(),
                service = target.service,
                method = head.method,
                path = target.path,
                arrived = arrived,
                deadline = arrived + deadline(headers[RequestHeaders.DEADLINE_MS], settings.deadlines(target.service)),
                team = team(headers[RequestHeaders.TEAM]),
                urgency = urgency(headers[RequestHeaders.URGENCY]),
                key = key(headers[RequestHeaders.IDEMPOTENCY_KEY]),
                traceparent = headers[RequestHeaders.TRACEPARENT]?.toString(),
                headers = RequestHeaders.endToEnd(headers),
                body = readBody(headers),
            )
        return ReadResult.Complete(request, keepAlive(head))
    }

    private suspend fun readBody(headers: HttpHeadersMap): ByteArray {
        val lengths = headers.getAll("Content-Length").map { it.toString() }.toSet()
        val encodings = headers.getAll("Transfer-Encoding").map { it.toString() }.toList()
        val ambiguous = lengths.size > 1 || lengths.isNotEmpty() && encodings.isNotEmpty()
        if (ambiguous) invalid(RequestFault.MALFORMED_BODY)
        if (lengths.isEmpty() && encodings.isEmpty()) return ByteArray(0)
        if (headers["Expect"]?.contains("100-continue", ignoreCase = true) == true) sendContinue()
        if (encodings.isEmpty()) return readLength(lengths.single())
        if (!encodings.singleOrNull().equals("chunked", ignoreCase = true)) invalid(RequestFault.MALFORMED_BODY)
        return readChunked()
    }

    private suspend fun readLength(text: String): ByteArray {
        val length = if (text.all { it in '0'..'9' }) text.toLongOrNull() else null
        if (length == null) invalid(RequestFault.MALFORMED_BODY)
        if (length > settings.bodyBytes) invalid(RequestFault.BODY_TOO_LARGE)
        return malformedOnFailure { input.readByteArray(length.toInt()) }
    }

    private suspend fun readChunked(): ByteArray {
        val chunks = ChunkedBody(input)
        val body = ByteArrayOutputStream()
        val part = ByteArray(PART_BYTES)
        while (true) {
            val count = malformedOnFailure { chunks.read(part, 0, part.size) }
            if (count < 0) return body.toByteArray()
            if (body.size() + count > settings.bodyBytes) invalid(RequestFault.BODY_TOO_LARGE)
            body.write(part, 0, count)
        }
    }

    private suspend fun <T> malformedOnFailure(read: suspend () -> T): T = try {
        read()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        invalid(RequestFault.MALFORMED_BODY)
    }

    private suspend fun sendContinue() {
        output.writeFully("HTTP/1.1 100 Continue\r\n\r\n".toByteArray())
        output.flush()
    }

    private fun deadline(text: CharSequence?, limits: DeadlineLimits): Duration {
        if (text == null) return minOf(limits.default, limits.longest)
        val millis = text.toString().toLongOrNull() ?: 0
        if (millis <= 0) invalid(RequestFault.INVALID_DEADLINE)
        return minOf(millis.milliseconds, limits.longest)
    }

    private fun urgency(text: CharSequence?): Urgency {
        if (text == null) return Urgency.NORMAL
        return Urgency.entries.firstOrNull { it.name.equals(text.toString(), ignoreCase = true) }
            ?: invalid(RequestFault.INVALID_URGENCY)
    }

    private fun team(text: CharSequence?): TeamId {
        if (text == null) return RoutingInput.DefaultTeam
        if (!isValidId(text.toString())) invalid(RequestFault.INVALID_TEAM)
        return TeamId(text.toString())
    }

    private fun key(text: CharSequence?): IdempotencyKey? {
        if (text == null) return null
        val valid = text.length in 1..MAX_ID_LENGTH && text.all { it.code in PrintableAscii }
        if (!valid) invalid(RequestFault.INVALID_KEY)
        return IdempotencyKey(text.toString())
    }

    private fun invalid(fault: RequestFault): Nothing = throw InvalidRequestException(fault)

    private fun keepAlive(head: Request): Boolean {
        val connection = head.headers["Connection"]?.toString().orEmpty()
        return head.version.toString() == "HTTP/1.1" && !connection.contains("close", ignoreCase = true)
    }

    private companion object {
        const val PART_BYTES = 8 * 1024
        val PrintableAscii = 0x21..0x7e
    }
}

/** What a caller's connection brought. */
internal sealed interface ReadResult {
    class Complete(val request: CallerRequest, val keepAlive: Boolean) : ReadResult

    /** The request was not understood; the connection is closed after the refusal. */
    data class Invalid(val fault: RequestFault) : ReadResult

    /** The caller closed the connection or left it idle. */
    data object Ended : ReadResult
}

private class InvalidRequestException(val fault: RequestFault) : Exception("request refused: $fault")

/** Service and remaining path of a request's URI. */
internal class ServicePath(val service: ServiceId, val path: String) {
    companion object {
        /** Splits `/service/rest?query`, or returns null if it does not begin with a valid service id. */
        fun parse(uri: String): ServicePath? {
            if (!uri.startsWith('/')) return null
            val end = uri.indexOfAny(charArrayOf('/', '?'), startIndex = 1).let { if (it < 0) uri.length else it }
            val service = uri.substring(1, end)
            if (!isValidId(service)) return null
            val rest = uri.substring(end)
            return ServicePath(ServiceId(service), if (rest.startsWith('/')) rest else "/$rest")
        }
    }
}
