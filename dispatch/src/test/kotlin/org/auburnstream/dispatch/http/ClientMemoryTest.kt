package org.auburnstream.dispatch.http

import org.auburnstream.model.MonotonicTime
import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ClientMemoryTest {
    private fun held(name: String, bytes: Long, sinceNs: Long = 0, address: String = "a") =
        Held(name, address, bytes, MonotonicTime(sinceNs))

    private fun refused(vararg unfinished: Held<String>, newcomer: Held<String>? = null, excess: Long) =
        chooseRefused(unfinished.toList(), newcomer, excess)?.map { it.owner }

    @Test
    fun theLargestAndThenTheOldestMessageIsRefusedFirst() {
        val messages = arrayOf(held("small", 5_000), held("new", 9_000, 2), held("old", 9_000, 1))

        assertEquals(listOf("old"), refused(*messages, excess = 9_000))
        assertEquals(listOf("old", "new"), refused(*messages, excess = 9_001))
    }

    @Test
    fun theAddressThatHoldsMostIsRefusedFirst() {
        val crowd = Array(3) { held("crowd", 6_000, 5, address = "b") }

        assertEquals(listOf("crowd"), refused(held("large", 12_000), *crowd, excess = 100))
    }

    @Test
    fun anOrdinarySmallMessageIsNotRefusedForOthers() {
        assertEquals(null, refused(held("ordinary", SMALL_MESSAGE_BYTES), newcomer = held("own", 5_000), excess = 100))
    }

    @Test
    fun workThatHasBegunIsNotRefusedAndALoneMessageIsAdmitted() {
        val memory = ClientMemory(limitBytes = 10_000)
        val lone = memory.open("a", MonotonicTime(0)) { error("refused after its work has begun") }

        assertTrue(lone.begin(40_000))
        assertFalse(memory.open("b", MonotonicTime(1)) {}.resize(5_000))
        lone.close()
        assertEquals(0, memory.heldBytes)
        assertEquals(1, memory.refusals)
    }

    @Test
    fun theRoomForABodyIsAskedForBeforeItArrives() {
        val asked = ArrayList<Long>()
        val parser = HttpParser(isResponse = false, { asked.add(it) && it < 5_000 }) { HttpLimits(1_000, 9_000) }
        parser.append(ByteBuffer.wrap("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n".toByteArray()))

        assertEquals(503, assertIs<ParseResult.Rejected>(parser.next()).status)
        assertTrue(asked.last() >= 9_000)
        assertEquals(0, parser.heldBytes)
    }

    /** Chunks of one byte were held with their framing, and read again from the start with each read. */
    @Test
    fun theFramingOfTinyChunksIsNotHeld() {
        var largest = 0L
        val parser = HttpParser(isResponse = false, { bytes -> true.also { largest = maxOf(largest, bytes) } }) {
            HttpLimits(1_000, 262_144)
        }
        parser.append(ByteBuffer.wrap("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray()))
        repeat(20_000) { parser.append(ByteBuffer.wrap("1;extension=1\r\nb\r\n".toByteArray())) }

        assertTrue(largest <= 2 * 20_000 + 1_024, "$largest bytes")
        parser.append(ByteBuffer.wrap("0\r\n\r\n".toByteArray()))
        assertEquals(20_000, assertIs<ParseResult.Request>(parser.next()).request.body.size)
    }
}
