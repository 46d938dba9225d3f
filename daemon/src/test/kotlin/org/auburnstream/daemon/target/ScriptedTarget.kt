package org.auburnstream.daemon.target

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as a target saw it. */
class SeenRequest(val line: String, val headers: Map<String, String>, val body: String) {
    val id: String get() = headers.getValue("x-request-id")
}

/** Target on a real socket whose [script] answers each request; it counts what it was sent. */
class ScriptedTarget(private val script: (SeenRequest, Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()
    val seen = CopyOnWriteArrayList<SeenRequest>()
    val port: Int get() = server.localPort
    val accepted: Int get() = sockets.size

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.use {
            while (true) {
                val request = read(socket.getInputStream()) ?: return
                seen += request
                script(request, socket)
                if (socket.isClosed) return
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    companion object {
        fun read(input: InputStream): SeenRequest? {
            val line = readLine(input) ?: return null
            val headers =
                generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
                    .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
            return SeenRequest(line, headers, body)
        }

        fun readLine(input: InputStream): String? {
            val line = StringBuilder()
            while (true) {
                val byte = input.read()
                if (byte < 0) return null
                if (byte == '\n'.code) return line.toString().trimEnd('\r')
                line.append(byte.toChar())
            }
        }

        /** A whole answer that repeats the request's id. */
        fun answer(request: SeenRequest, body: String, status: String = "200 OK", extra: String = ""): ByteArray =
            "HTTP/1.1 $status\r\nX-Request-Id: ${request.id}\r\n${extra}Content-Length: ${body.length}\r\n\r\n$body"
                .toByteArray()

        /** Answers each request with its own path and body. */
        fun echo(): ScriptedTarget = ScriptedTarget { request, socket ->
            socket.getOutputStream().write(answer(request, "${request.line} ${request.body}"))
        }
    }
}
