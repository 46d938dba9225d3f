package org.auburnstream.dispatch.link

import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FrameReaderTest {
    @Test
    fun framesArriveInAnyPieces() {
        val frames =
            List(20) { Frame(FrameKind.entries[it % FrameKind.entries.size], it.toLong(), ByteArray(it * 700)) }
        val bytes = frames.map { it.encode() }.reduce { all, next -> all + next }
        repeat(20) { seed ->
            val random = Random(seed)
            val reader = FrameReader()
            val read = ArrayList<Frame>()
            var at = 0
            while (at < bytes.size) {
                val count = random.nextInt(1, minOf(5_000, bytes.size - at) + 1)
                assertTrue(reader.read(ByteBuffer.wrap(bytes, at, count), read::add))
                at += count
            }
            assertEquals(
                frames.map {
                    Triple(it.kind, it.number, it.payload.size)
                },
                read.map { Triple(it.kind, it.number, it.payload.size) },
            )
        }
    }

    @Test
    fun aStreamOfSomethingElseIsGivenUp() {
        assertFalse(FrameReader().read(ByteBuffer.wrap("GET / HTTP/1.1\r\n\r\n".toByteArray())) {})
        assertFalse(FrameReader().read(ByteBuffer.wrap(ByteArray(13) { if (it == 4) 99 else 0 })) {})
    }
}
