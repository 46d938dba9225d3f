package org.auburnstream.daemon.ledger

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.consensus.StateMachine
import org.auburnstream.model.LogIndex
import org.auburnstream.routing.ledger.LedgerBounds
import org.auburnstream.routing.ledger.LedgerCommand
import org.auburnstream.routing.ledger.LedgerReply
import org.auburnstream.routing.ledger.LedgerSnapshot
import org.auburnstream.routing.ledger.LedgerState

/** Ledger of idempotency keys as the state machine of a replicated group; everything is encoded as CBOR. */
public class LedgerStateMachine(bounds: LedgerBounds = LedgerBounds()) : StateMachine {
    private val state = LedgerState(bounds)

    /** Number of kept keys. */
    public val size: Int get() = state.size

    override fun apply(index: LogIndex, command: ByteArray): ByteArray =
        LedgerCodec.encode(state.apply(LedgerCodec.decodeCommand(command)))

    override fun snapshot(): ByteArray = LedgerCodec.encode(state.snapshot())

    override fun restore(index: LogIndex, snapshot: ByteArray): Unit =
        state.restore(LedgerCodec.decodeSnapshot(snapshot))
}

/** Encodes the ledger's messages. */
@OptIn(ExperimentalSerializationApi::class)
internal object LedgerCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
        }

    fun encode(command: LedgerCommand): ByteArray = cbor.encodeToByteArray(LedgerCommand.serializer(), command)

    fun encode(reply: LedgerReply): ByteArray = cbor.encodeToByteArray(LedgerReply.serializer(), reply)

    fun encode(snapshot: LedgerSnapshot): ByteArray = cbor.encodeToByteArray(LedgerSnapshot.serializer(), snapshot)

    fun decodeCommand(bytes: ByteArray): LedgerCommand = cbor.decodeFromByteArray(LedgerCommand.serializer(), bytes)

    fun decodeReply(bytes: ByteArray): LedgerReply = cbor.decodeFromByteArray(LedgerReply.serializer(), bytes)

    fun decodeSnapshot(bytes: ByteArray): LedgerSnapshot = cbor.decodeFromByteArray(LedgerSnapshot.serializer(), bytes)
}
