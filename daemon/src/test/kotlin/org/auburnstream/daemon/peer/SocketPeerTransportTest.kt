package org.auburnstream.daemon.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.model.DaemonId
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against lost, reordered or wrongly accepted traffic between daemons, and against an invalid connection that
 * disturbs the others.
 */
@OptIn(ExperimentalSerializationApi::class)
class SocketPeerTransportTest {
    private val a = DaemonId("a")
    private val b = DaemonId("b")

    @Test
    fun deliversMessagesInOrder() = withListener { port, received, _ ->
        val sender = SocketPeerTransport(a, listOf(PeerAddress(b, HOST, port)), seed = 1)
        sender.start(this, HOST, 0)
        repeat(100) { sender.send(b, PeerChannel.LEASE, byteArrayOf(it.toByte())) }

        repeat(100) { assertContentEquals(byteArrayOf(it.toByte()), received.receive()) }
        sender.close()
    }

    @Test
    fun refusesPeerOfAnotherVersion() = withListener { port, _, events ->
        val reply = hello(port, PeerHello(version = 99, from = a, to = b))

        val reason = LinkRefusal.VersionMismatch(offered = 99, supported = PEER_PROTOCOL_VERSION)
        assertEquals(PeerHelloReply.Refused(reason), reply)
        assertEquals(LinkEvent.Refused(reason), events.receive())
    }

    @Test
    fun refusesUnknownPeer() = withListener { port, _, _ ->
        val unknownPeer = DaemonId("stranger")

        val reply = hello(port, PeerHello(version = PEER_PROTOCOL_VERSION, from = unknownPeer, to = b))

        assertEquals(PeerHelloReply.Refused(LinkRefusal.UnknownPeer(unknownPeer)), reply)
    }

    @Test
    fun closesLinkThatSendsInvalidFrameAndServesOtherLinks() = withListener { port, received, events ->
        openSocket(port).use { socket ->
            val output = DataOutputStream(socket.getOutputStream())
            output.writeInt(Int.MAX_VALUE)
            output.writeByte(0)
            output.flush()
            assertEquals(LinkEvent.InvalidDataReceived(InvalidDataCause.NO_HELLO), events.receive())
            assertEquals(-1, withContext(Dispatchers.IO) { socket.getInputStream().read() })
        }

        val sender = SocketPeerTransport(a, listOf(PeerAddress(b, HOST, port)), seed = 1)
        sender.start(this, HOST, 0)
        sender.send(b, PeerChannel.LEASE, byteArrayOf(7))
        assertContentEquals(byteArrayOf(7), received.receive())
        sender.close()
    }

    @Test
    fun dropsMessageWhenQueueIsFull() = runBlocking {
        val dropped = mutableListOf<LinkEvent>()
        val unreachable = SocketPeerTransport(a, listOf(PeerAddress(b, HOST, 1)), seed = 1) { dropped += it }

        val accepted = (1..5).count { unreachable.send(b, PeerChannel.CONSENSUS, ByteArray(MAX_FRAME_BYTES)) }

        assertEquals(4, accepted)
        assertEquals(listOf<LinkEvent>(LinkEvent.Dropped(b, PeerChannel.CONSENSUS)), dropped)
        unreachable.close()
    }

    private fun withListener(
        block: suspend CoroutineScope.(port: Int, received: Channel<ByteArray>, events: Channel<LinkEvent>) -> Unit,
    ) = runBlocking(Dispatchers.Default) {
        withTimeout(30.seconds) {
            val received = Channel<ByteArray>(Channel.UNLIMITED)
            val events = Channel<LinkEvent>(Channel.UNLIMITED)
            val job = Job(coroutineContext[Job])
            val scope = CoroutineScope(coroutineContext + job)
            val listener =
                SocketPeerTransport(b, listOf(PeerAddress(a, HOST, 1)), seed = 2) {
                    if (it is LinkEvent.Refused || it is LinkEvent.InvalidDataReceived) events.trySend(it)
                }
            listener.register(PeerChannel.LEASE) { _, payload -> received.send(payload) }
            val port = listener.start(scope, HOST, 0)
            scope.block(port, received, events)
            job.cancelAndJoin()
            listener.close()
        }
    }

    private suspend fun hello(port: Int, hello: PeerHello): PeerHelloReply = openSocket(port).use { socket ->
        withContext(Dispatchers.IO) {
            val payload = Cbor.encodeToByteArray(PeerHello.serializer(), hello)
            val output = DataOutputStream(socket.getOutputStream())
            output.writeInt(payload.size)
            output.writeByte(HANDSHAKE_KIND)
            output.write(payload)
            output.flush()
            val input = DataInputStream(socket.getInputStream())
            val length = input.readInt()
            input.readByte()
            Cbor.decodeFromByteArray(PeerHelloReply.serializer(), input.readNBytes(length))
        }
    }

    private suspend fun openSocket(port: Int): Socket = withContext(Dispatchers.IO) { Socket(HOST, port) }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
