package org.auburnstream.dispatch

import kotlinx.serialization.cbor.Cbor
import org.auburnstream.consensus.StateMachine
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.StateImage

/**
 * Applies the entries of the replicated log to the scheduling state, and writes and restores its snapshots.
 *
 * @property clock returns the reading of the monotonic clock.
 */
internal class StateReplica(val state: SchedulerState, private val clock: () -> MonotonicTime) : StateMachine {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(batch: RecordBatch): ByteArray = cbor.encodeToByteArray(RecordBatch.serializer(), batch)

    override fun apply(index: LogIndex, command: ByteArray): ByteArray {
        state.apply(cbor.decodeFromByteArray(RecordBatch.serializer(), command), clock())
        return NO_RESPONSE
    }

    override fun snapshot(): ByteArray = cbor.encodeToByteArray(StateImage.serializer(), state.image())

    override fun restore(index: LogIndex, snapshot: ByteArray) {
        state.restore(cbor.decodeFromByteArray(StateImage.serializer(), snapshot), clock())
    }

    private companion object {
        val NO_RESPONSE = ByteArray(0)
    }
}
