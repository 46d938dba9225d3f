package org.auburnstream.daemon.peer

import org.auburnstream.control.LeaseMessage
import org.auburnstream.daemon.replication.ReplicationCodec
import org.auburnstream.daemon.rollout.LeaseCodec
import org.auburnstream.daemon.state.CommandBody
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.daemon.state.StateMessages
import org.auburnstream.model.DaemonId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against decoders that throw on corrupted messages from a peer.
 *
 * Each sample has random bytes overwritten and may then be truncated, duplicated or replaced by random bytes. A decoder
 * must return a message or null, but never throw.
 */
class DamagedMessageTest {
    private val grant = LeaseMessage.Grant(1, 2, 3, LogIndex(4), 3.seconds)
    private val command =
        ReplicatedCommand(
            operation = OperationId("1-0123456789abcdef"),
            operator = OperatorId("operator-1"),
            proposedAt = Instant.fromEpochSeconds(1),
            body = CommandBody.Daemons(setOf(DaemonId("d1"), DaemonId("d2"))),
        )

    @Test
    fun decodersNeverThrow() {
        val samples = listOf(LeaseCodec.encode(grant), StateMessages.encode(command))
        val decoders =
            listOf<(ByteArray) -> Any?>(
                LeaseCodec::decode,
                StateMessages::decodeAnswer,
                ReplicationCodec::decodeEnvelope,
                { ReplicationCodec.decodeGroupMessage(it) },
            )
        val failures = ArrayList<String>()
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val bytes = corrupt(samples.random(random), random)
            decoders.forEachIndexed { number, decode ->
                runCatching { decode(bytes) }.onFailure { failures += "seed $seed decoder $number: $it" }
            }
        }
        assertEquals(emptyList(), failures.take(5), "${failures.size} failures")
    }

    private fun corrupt(sample: ByteArray, random: Random): ByteArray {
        val bytes = sample.copyOf()
        repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return when (random.nextInt(4)) {
            0 -> bytes.copyOf(random.nextInt(bytes.size))
            1 -> bytes + bytes
            2 -> byteArrayOf(1) + random.nextBytes(random.nextInt(1, 64))
            else -> bytes
        }
    }

    private companion object {
        const val SEEDS = 50_000
    }
}
