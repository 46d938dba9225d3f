package org.auburnstream.dispatch.http

import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The parser reads what a simple reader of the whole stream reads, however the stream is split. */
class HttpParserFuzzTest {
    private val limits = HttpLimits(maxHeadBytes = 300, maxBodyBytes = 60)

    @Test
    fun aStreamIsReadAsTheReferenceReadsItHoweverItIsSplit() {
        var rejected = 0
        repeat(20_000) { seed ->
            val random = Random(seed)
            val stream = stream(random)
            val expected = reference(stream)
            if (expected.lastOrNull()?.startsWith("rejected") == true) rejected += 1
            assertEquals(expected, read(stream, random), "seed $seed: ${stream.decodeToString()}")
        }
        assertTrue(rejected in 2_000..18_000, "$rejected rejected")
    }

    private fun stream(random: Random): ByteArray {
        val text = List(random.nextInt(1, 4)) { message(random) }.joinToString("").toByteArray()
        if (random.nextInt(3) > 0) return text
        val changed = text.copyOf(random.nextInt(1, text.size + 1))
        repeat(random.nextInt(3)) { changed[random.nextInt(changed.size)] = NOISE.random(random).code.toByte() }
        return changed
    }

    private fun message(random: Random): String {
        val body = "b".repeat(random.nextInt(if (random.nextInt(4) == 0) 90 else 50))
        val head = "POST /${random.nextInt(99)} HTTP/1.1\r\nX-A: ${"y".repeat(random.nextInt(120))}\r\n"
        if (random.nextBoolean()) return "${head}Content-Length: ${body.length}\r\n\r\n$body"
        val chunks = body.chunked(random.nextInt(1, 20)).joinToString("") {
            val extension = if (random.nextBoolean()) "" else ";e=${"z".repeat(random.nextInt(9))}"
            "${it.length.toString(16)}$extension\r\n$it\r\n"
        }
        return "${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n"
    }

    private fun read(stream: ByteArray, random: Random): List<String> {
        val parser = HttpParser(isResponse = false) { limits }
        val results = ArrayList<String>()
        var at = 0
        while (at < stream.size) {
            val count = minOf(random.nextInt(1, 40), stream.size - at)
            parser.append(ByteBuffer.wrap(stream, at, count))
            at += count
            if (!takeMessages(parser, results)) return results
        }
        return results
    }

    /** Adds the messages that the parser has read to [results]; returns false if it has rejected one. */
    private fun takeMessages(parser: HttpParser, results: MutableList<String>): Boolean {
        while (true) {
            when (val parsed = parser.next()) {
                is ParseResult.Request -> results += parsed.request.run { "$target ${body.decodeToString()}" }
                is ParseResult.Rejected -> return !results.add("rejected ${parsed.status}")
                else -> return true
            }
        }
    }

    private fun reference(stream: ByteArray): List<String> {
        val results = ArrayList<String>()
        var text = stream.toString(Charsets.ISO_8859_1)
        while (true) {
            val (outcome, rest) = firstMessage(text) ?: return results
            results += outcome
            text = rest ?: return results
        }
    }

    /** Outcome of the first message in [text] and what follows it, or null while it is incomplete. */
    private fun firstMessage(text: String): Pair<String, String?>? {
        val headEnd = text.indexOf("\r\n\r\n")
        val headSize = if (headEnd < 0) text.length - partialEnd(text) else headEnd
        if (headSize > limits.maxHeadBytes) return "rejected 431" to null
        if (headEnd < 0) return null
        val lines = text.substring(0, headEnd).split("\r\n")
        val headers = headers(lines.drop(1).filter { it.isNotEmpty() }) ?: return "rejected 400" to null
        val (status, body, after) = body(headers, text.substring(headEnd + 4)) ?: return null
        val start = lines[0].split(' ', limit = 3)
        val isValid = start.size == 3 && start[2].startsWith("HTTP/1.") && start[1].startsWith("/")
        return when {
            status != 0 -> "rejected $status" to null
            !isValid -> "rejected 400" to null
            else -> "${start[1]} ${body.toByteArray(Charsets.ISO_8859_1).decodeToString()}" to after
        }
    }

    private fun headers(fields: List<String>): Map<String, String>? {
        val lengths = fields.filter { it.startsWith("content-length:", ignoreCase = true) }
        val isMalformed = fields.any { it.indexOf(':') <= 0 || it[0] == ' ' }
        if (isMalformed || lengths.map { it.substringAfter(':').trim() }.distinct().size > 1) return null
        return fields.associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    }

    private fun body(headers: Map<String, String>, text: String): Triple<Int, String, String>? {
        val coding = headers["transfer-encoding"] ?: return whole(headers["content-length"] ?: "0", text)
        val isKnown = coding.equals("chunked", ignoreCase = true) && "content-length" !in headers
        return if (isKnown) chunked(text) else Triple(501, "", "")
    }

    private fun partialEnd(text: String) = listOf("\r\n\r", "\r\n", "\r").firstOrNull(text::endsWith)?.length ?: 0

    private fun whole(length: String, text: String): Triple<Int, String, String>? {
        val count = length.toLongOrNull()?.takeIf { it >= 0 } ?: return Triple(400, "", "")
        if (count > limits.maxBodyBytes) return Triple(413, "", "")
        if (text.length < count) return null
        return Triple(0, text.take(count.toInt()), text.drop(count.toInt()))
    }

    private fun chunked(text: String): Triple<Int, String, String>? {
        val body = StringBuilder()
        var at = 0
        while (true) {
            val lineEnd = text.indexOf("\r\n", at)
            if (lineEnd < 0) return null
            val size = text.substring(at, lineEnd).substringBefore(';').trim().toIntOrNull(16)?.takeIf { it >= 0 }
                ?: return Triple(400, "", "")
            if (body.length.toLong() + size > limits.maxBodyBytes) return Triple(413, "", "")
            at = lineEnd + 2
            if (size == 0) {
                val end = text.indexOf("\r\n", at)
                return if (end < 0) null else Triple(0, body.toString(), text.substring(end + 2))
            }
            val end = text.drop(at + size).take(2)
            if (!"\r\n".startsWith(end)) return Triple(400, "", "")
            if (end.length < 2) return null
            body.append(text, at, at + size)
            at += size + 2
        }
    }

    private companion object {
        const val NOISE = "\r\n: ;0aGx-/"
    }
}
