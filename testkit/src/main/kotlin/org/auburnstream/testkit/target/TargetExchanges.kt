package org.auburnstream.testkit.target

import io.ktor.http.cio.Request
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.auburnstream.model.VmId
import kotlin.time.Duration

/** Runs the requests of one connection, one after the other. */
internal class TargetExchanges(
    socket: Socket,
    private val vm: VmId,
    private val executions: ExecutionCounts,
    private val behaviour: TargetBehaviour,
    private val delay: Duration,
    private val release: CompletableDeferred<Unit>,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel()

    /** Runs until the peer or a behaviour ends the connection. */
    suspend fun run() {
        while (true) {
            val head = parseRequest(input) ?: return
            val request = head.use { read(it) }
            if (!answer(request)) {
                output.flushAndClose()
                return
            }
        }
    }

    private suspend fun read(head: Request): TargetRequest {
        val length = head.headers["Content-Length"]?.toString()?.toInt() ?: 0
        return TargetRequest(
            line = "${head.method.value} ${head.uri}",
            id = head.headers["X-Request-Id"]?.toString(),
            key = head.headers["Idempotency-Key"]?.toString(),
            behaviour = head.headers[TargetBehaviour.HEADER]?.toString()?.let(
                TargetBehaviour::parseOrNull,
            ) ?: behaviour,
            body = input.readByteArray(length),
        )
    }

    /** Returns whether the connection stays open. */
    private suspend fun answer(request: TargetRequest): Boolean {
        if (request.behaviour == TargetBehaviour.REFUSE) return send(request, "503 Service Unavailable", refusal = true)
        executions.count(request.key ?: request.line)
        when (request.behaviour) {
            TargetBehaviour.SLOW -> delay(delay)
            TargetBehaviour.HOLD -> release.await()
            TargetBehaviour.FAIL -> return send(request, "500 Internal Server Error")
            TargetBehaviour.CLOSE -> return false
            TargetBehaviour.TRUNCATED -> return sendHalf(request)
            TargetBehaviour.DOUBLED -> send(request, OK)
            TargetBehaviour.MISTAKEN -> return send(request.copy(id = "mistaken-${request.id}"), OK)
            else -> Unit
        }
        return send(request, OK)
    }

    private suspend fun send(request: TargetRequest, status: String, refusal: Boolean = false): Boolean {
        output.writePacket(render(request, status, refusal))
        output.flush()
        return true
    }

    private suspend fun sendHalf(request: TargetRequest): Boolean {
        val body = bodyOf(request)
        val head = "HTTP/1.1 $OK\r\nContent-Length: ${body.size}\r\nX-Request-Id: ${request.id}\r\n\r\n"
        output.writeFully(head.toByteArray() + body.copyOf(body.size / 2))
        output.flush()
        return false
    }

    private fun render(request: TargetRequest, status: String, refusal: Boolean) = RequestResponseBuilder().run {
        val body = bodyOf(request)
        val (code, reason) = status.split(' ', limit = 2)
        responseLine("HTTP/1.1", code.toInt(), reason)
        headerLine("Content-Type", "text/plain")
        headerLine("Content-Length", body.size.toString())
        headerLine("X-Stand-In-Vm", vm.value)
        request.id?.let { headerLine("X-Request-Id", it) }
        if (refusal) headerLine("X-Not-Run", "true")
        emptyLine()
        bytes(body)
        build()
    }

    private fun bodyOf(request: TargetRequest): ByteArray = "${request.line}\n".toByteArray() + request.body

    private companion object {
        const val OK = "200 OK"
    }
}

/** A request as the stand-in target received it. */
internal data class TargetRequest(
    val line: String,
    val id: String?,
    val key: String?,
    val behaviour: TargetBehaviour,
    val body: ByteArray,
)
