package org.auburnstream.daemon.target

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByteArray
import kotlinx.coroutines.CancellationException
import org.auburnstream.daemon.http.ChunkedBody
import org.auburnstream.daemon.http.awaitHead
import org.auburnstream.model.RequestId
import org.auburnstream.model.UnknownReason

/** Reads the answer to one request and checks that it is whole and belongs to that request. */
internal class AnswerReader(private val settings: TargetSettings, private val input: ByteReadChannel) {
    /**
     * Reads an answer; one that is too large to hold is passed to [stream] as it arrives.
     *
     * @throws TruncatedAnswerException if the answer is not whole.
     * @throws MalformedAnswerException if the answer breaks the protocol.
     */
    suspend fun read(request: TargetRequest, stream: suspend (TargetAnswer) -> Unit): ReadAnswer {
        val response = readHead()
        try {
            return read(response, request, stream)
        } finally {
            response.release()
        }
    }

    private suspend fun readHead(): Response {
        while (true) {
            if (!awaitHead(input, settings.headBytes)) throw TruncatedAnswerException(UnknownReason.CONNECTION_LOST)
            val response = parseResponse(input) ?: throw TruncatedAnswerException(UnknownReason.CONNECTION_LOST)
            if (response.status !in INFORMATIONAL) return response
            response.release()
        }
    }

    private suspend fun read(
        response: Response,
        request: TargetRequest,
        stream: suspend (TargetAnswer) -> Unit,
    ): ReadAnswer {
        val headers = response.headers
        val echoed = echoedId(headers, request.id)
        val frame = frame(response, request)
        val reusable = echoed && headers["Connection"]?.contains("close", ignoreCase = true) != true
        val answer = { body: AnswerBody ->
            TargetAnswer(response.status, response.statusText.toString(), RequestHeaders.endToEnd(headers), body)
        }
        return when (frame) {
            AnswerFrame.Empty -> ReadAnswer(answer(AnswerBody.Whole(ByteArray(0))), reusable)
            is AnswerFrame.Length -> ReadAnswer(readLength(frame.bytes, answer, stream), reusable)
            AnswerFrame.Chunked -> ReadAnswer(readChunked(answer, stream), reusable)
        }
    }

    /** An id of another exchange proves that the answer is late or doubled; a missing one proves nothing. */
    private fun echoedId(headers: HttpHeadersMap, id: RequestId): Boolean {
        val echo = headers[RequestHeaders.REQUEST_ID] ?: return false
        if (echo.toString() != id.value) throw MalformedAnswerException("$echo is not the id of request $id")
        return true
    }

    private fun frame(response: Response, request: TargetRequest): AnswerFrame {
        val lengths = response.headers.getAll("Content-Length").map { it.toString() }.toSet()
        val encodings = response.headers.getAll("Transfer-Encoding").map { it.toString() }.toList()
        val bodiless = request.method.value == "HEAD" || response.status in BODILESS
        return when {
            bodiless -> AnswerFrame.Empty
            encodings.isNotEmpty() && lengths.isNotEmpty() -> throw MalformedAnswerException("two frames of the body")
            encodings.isNotEmpty() -> chunked(encodings)
            lengths.size == 1 -> AnswerFrame.Length(length(lengths.single()))
            else -> throw MalformedAnswerException("no frame of the body, so that its end cannot be known")
        }
    }

    private fun chunked(encodings: List<String>): AnswerFrame {
        if (encodings.singleOrNull()?.equals("chunked", ignoreCase = true) == true) return AnswerFrame.Chunked
        throw MalformedAnswerException("transfer encoding $encodings is not chunked")
    }

    private fun length(text: String): Long {
        val length = if (text.all { it in '0'..'9' }) text.toLongOrNull() else null
        if (length == null || length > settings.answerBytes) throw MalformedAnswerException("length $text")
        return length
    }

    private suspend fun readLength(
        length: Long,
        answer: (AnswerBody) -> TargetAnswer,
        stream: suspend (TargetAnswer) -> Unit,
    ): TargetAnswer {
        if (length <= settings.heldBytes) return answer(AnswerBody.Whole(wholeOrTruncated(length.toInt())))
        val streamed = answer(LengthStream(input, length))
        stream(streamed)
        return streamed
    }

    private suspend fun wholeOrTruncated(length: Int): ByteArray = truncatedOnFailure { input.readByteArray(length) }

    private suspend fun readChunked(
        answer: (AnswerBody) -> TargetAnswer,
        stream: suspend (TargetAnswer) -> Unit,
    ): TargetAnswer {
        val chunks = ChunkedBody(input)
        val held = ByteArray(settings.heldBytes + 1)
        val count = truncatedOnFailure { chunks.fill(held) }
        if (count <= settings.heldBytes) return answer(AnswerBody.Whole(held.copyOf(count)))
        val streamed = answer(ChunkedStream(held, chunks, settings.answerBytes))
        stream(streamed)
        return streamed
    }

    private companion object {
        val INFORMATIONAL = 100..199
        val BODILESS = setOf(204, 304)
    }
}

/** An answer, and whether the connection may carry another exchange. */
internal class ReadAnswer(val answer: TargetAnswer, val reusable: Boolean)

/** An answer that breaks the protocol in the way that [detail] names. */
internal class MalformedAnswerException(detail: String) : Exception("malformed answer: $detail")

private sealed interface AnswerFrame {
    data object Empty : AnswerFrame

    data object Chunked : AnswerFrame

    data class Length(val bytes: Long) : AnswerFrame
}

private class LengthStream(private val input: ByteReadChannel, private val bytes: Long) : AnswerBody.Stream(bytes) {
    override suspend fun forEachPart(block: suspend (bytes: ByteArray, count: Int) -> Unit) {
        val part = ByteArray(PART_BYTES)
        var left = bytes
        while (left > 0) {
            val count = truncatedOnFailure { input.readAvailable(part, 0, minOf(left, PART_BYTES.toLong()).toInt()) }
            if (count < 0) throw TruncatedAnswerException(UnknownReason.CONNECTION_LOST)
            left -= count
            block(part, count)
        }
    }
}

private class ChunkedStream(private val held: ByteArray, private val rest: ChunkedBody, private val limit: Long) :
    AnswerBody.Stream(length = null) {
    override suspend fun forEachPart(block: suspend (bytes: ByteArray, count: Int) -> Unit) {
        block(held, held.size)
        val part = ByteArray(PART_BYTES)
        var total = held.size.toLong()
        while (true) {
            val count = truncatedOnFailure { rest.read(part, 0, part.size) }
            if (count < 0) return
            total += count
            if (total > limit) throw TruncatedAnswerException(UnknownReason.MALFORMED_ANSWER)
            block(part, count)
        }
    }
}

private suspend fun <T> truncatedOnFailure(read: suspend () -> T): T = try {
    read()
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    throw TruncatedAnswerException(UnknownReason.CONNECTION_LOST)
}

private const val PART_BYTES = 16 * 1024
