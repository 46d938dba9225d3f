package org.auburnstream.dispatch.link

import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against frames that are lost or corrupted when TCP splits or joins them, and against foreign protocols. */
class FrameReaderTest {
    @Test
    fun framesAreReassembledFromArbitraryChunks() {
        val frames =
            List(20) { Frame(FrameKind.entries[it % FrameKind.entries.size], it.toLong(), ByteArray(it * 700)) }
        val bytes = frames.map { it.encode() }.reduce { all, next -> all + next }
        repeat(20) { seed ->
            val random = Random(seed)
            val reader = FrameReader()
            val read = ArrayList<Frame>()
            var offset = 0
            while (offset < bytes.size) {
                val chunkSize = random.nextInt(1, minOf(5_000, bytes.size - offset) + 1)
                assertTrue(reader.read(ByteBuffer.wrap(bytes, offset, chunkSize), read::add))
                offset += chunkSize
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
    fun malformedStreamIsRejected() {
        assertFalse(FrameReader().read(ByteBuffer.wrap("GET / HTTP/1.1\r\n\r\n".toByteArray())) {})
        assertFalse(FrameReader().read(ByteBuffer.wrap(ByteArray(13) { if (it == 4) 99 else 0 })) {})
    }
}
