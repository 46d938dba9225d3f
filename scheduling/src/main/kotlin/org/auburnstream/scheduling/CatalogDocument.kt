package org.auburnstream.scheduling

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.util.zip.Deflater
import java.util.zip.InflaterInputStream

/** Text of a catalog as the operator sent it, compressed because the entries of its queues are much alike. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class CatalogDocument private constructor(@ByteString @SerialName("z") private val compressed: ByteArray) {
    /** Size in the log and in a snapshot, in bytes. */
    internal val size: Int
        get() = compressed.size

    /** Returns the text. */
    public fun text(): String = InflaterInputStream(compressed.inputStream()).use { it.readBytes().decodeToString() }

    public companion object {
        /** Returns the document with [text]. */
        public fun of(text: String): CatalogDocument {
            val bytes = text.encodeToByteArray()
            // Bytes that cannot be compressed are stored in blocks with a header each.
            val buffer = ByteArray(bytes.size + bytes.size / BYTES_PER_HEADER + MIN_BYTES)
            val deflater = Deflater()
            try {
                deflater.setInput(bytes)
                deflater.finish()
                val size = deflater.deflate(buffer)
                check(deflater.finished()) { "${bytes.size} bytes do not fit into ${buffer.size} when compressed" }
                return CatalogDocument(buffer.copyOf(size))
            } finally {
                // Its memory is outside of the heap.
                deflater.end()
            }
        }

        private const val BYTES_PER_HEADER = 1_000
        private const val MIN_BYTES = 64
    }
}
