package org.auburnstream.testkit.load

import java.io.BufferedInputStream
import java.io.EOFException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * One connection of the load tool, which sends the same request again and again.
 *
 * It blocks its thread, so that no scheduler of the tool's own adds to the latencies.
 */
internal class LoadConnection(private val load: LoadTarget) : AutoCloseable {
    private val socket = Socket().apply {
        tcpNoDelay = true
        soTimeout = READ_TIMEOUT_MILLISECONDS
        connect(InetSocketAddress(load.address, load.port), READ_TIMEOUT_MILLISECONDS)
    }
    private val input = BufferedInputStream(socket.getInputStream(), BUFFER_BYTES)
    private val output = socket.getOutputStream()
    private val request = load.toBytes()

    /**
     * Sends the request and reads the whole answer.
     *
     * @return the status of the answer.
     * @throws java.io.IOException if the connection failed.
     */
    fun exchange(): Int {
        output.write(request)
        val status = readLine().substringAfter(' ').take(STATUS_DIGITS).toInt()
        var length = 0
        while (true) {
            val line = readLine()
            if (line.isEmpty()) break
            if (line.startsWith("content-length:", ignoreCase = true)) length = line.substringAfter(':').trim().toInt()
        }
        if (input.readNBytes(length).size < length) throw EOFException("answer of $length bytes was cut short")
        return status
    }

    override fun close() {
        socket.close()
    }

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            when (val byte = input.read()) {
                -1 -> throw EOFException("connection closed inside the head of an answer")
                LINE_FEED -> return line.toString()
                CARRIAGE_RETURN -> Unit
                else -> line.append(byte.toChar())
            }
        }
    }

    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 10_000
        const val BUFFER_BYTES = 16 * 1024
        const val STATUS_DIGITS = 3
        const val LINE_FEED = 10
        const val CARRIAGE_RETURN = 13
    }
}

/**
 * Where and what the load tool sends.
 *
 * @property path path of the request.
 * @property bodyBytes length of the request's body.
 */
public data class LoadTarget(val address: String, val port: Int, val path: String, val bodyBytes: Int = 0) {
    internal fun toBytes(): ByteArray {
        val head = "POST $path HTTP/1.1\r\nHost: $address\r\nContent-Length: $bodyBytes\r\n\r\n"
        return head.toByteArray() + ByteArray(bodyBytes) { 'x'.code.toByte() }
    }
}
