package org.auburnstream.daemon.caller

import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import org.auburnstream.daemon.target.AnswerBody
import org.auburnstream.daemon.target.HttpHeader
import org.auburnstream.daemon.target.RequestHeaders
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.model.RequestId
import kotlin.math.ceil

/** Writes answers and refusals to one caller's connection. */
internal class ResponseWriter(private val output: ByteWriteChannel) {
    /** Writes an answer that is held whole. */
    suspend fun answer(request: CallerRequest, answer: TargetAnswer, body: ByteArray, keepAlive: Boolean) {
        head(answer.status, answer.reason, answer.headers, request.id, keepAlive) {
            if (mayHaveBody(request, answer)) headerLine("Content-Length", body.size.toString())
            emptyLine()
            if (body.isNotEmpty()) bytes(body)
        }
        output.flush()
    }

    /** Passes a streamed answer on; if it throws, the connection must be closed at once. */
    suspend fun stream(request: CallerRequest, answer: TargetAnswer, body: AnswerBody.Stream, keepAlive: Boolean) {
        val length = body.length
        head(answer.status, answer.reason, answer.headers, request.id, keepAlive) {
            if (length == null) headerLine("Transfer-Encoding", "chunked") else headerLine("Content-Length", "$length")
            emptyLine()
        }
        body.forEachPart { bytes, count ->
            if (length == null) output.writeFully("${count.toString(radix = 16)}\r\n".toByteArray())
            output.writeFully(bytes, 0, count)
            if (length == null) output.writeFully(LineEnd)
            output.flush()
        }
        if (length == null) output.writeFully(LastChunk)
        output.flush()
    }

    /** Writes a refusal or the news that the outcome is unknown. */
    suspend fun problem(problem: Problem, id: RequestId?, method: HttpMethod, keepAlive: Boolean) {
        val body = problem.toJson()
        val reason = HttpStatusCode.fromValue(problem.status).description
        val headers =
            buildList {
                add(HttpHeader("Content-Type", "application/problem+json"))
                problem.retryAfterMs?.let {
                    add(HttpHeader("Retry-After", ceil(it / MS_PER_SECOND).toLong().toString()))
                }
            }
        head(problem.status, reason, headers, id, keepAlive) {
            headerLine("Content-Length", body.size.toString())
            emptyLine()
            if (method != HttpMethod.Head) bytes(body)
        }
        output.flush()
    }

    private suspend fun head(
        status: Int,
        reason: String,
        headers: List<HttpHeader>,
        id: RequestId?,
        keepAlive: Boolean,
        rest: RequestResponseBuilder.() -> Unit,
    ) {
        val builder = RequestResponseBuilder()
        try {
            builder.responseLine("HTTP/1.1", status, reason)
            headers.forEach { builder.headerLine(it.name, it.value) }
            id?.let { builder.headerLine(RequestHeaders.REQUEST_ID, it.value) }
            if (!keepAlive) builder.headerLine("Connection", "close")
            builder.rest()
            output.writePacket(builder.build())
        } finally {
            builder.release()
        }
    }

    private fun mayHaveBody(request: CallerRequest, answer: TargetAnswer): Boolean =
        request.method != HttpMethod.Head && answer.status !in BODILESS

    private companion object {
        val BODILESS = setOf(204, 304)
        val LineEnd = "\r\n".toByteArray()
        val LastChunk = "0\r\n\r\n".toByteArray()
        const val MS_PER_SECOND = 1000.0
    }
}
