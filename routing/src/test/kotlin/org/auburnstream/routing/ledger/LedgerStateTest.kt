package org.auburnstream.routing.ledger

import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.ServiceId
import org.auburnstream.model.UnknownReason
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Checks that a key is claimed at most once within its window and that a full ledger keeps its keys. */
class LedgerStateTest {
    private val start = Instant.fromEpochSeconds(1_000_000)
    private val key = RequestKey(ServiceId("print"), IdempotencyKey("order-1"))
    private val bounds = LedgerBounds(window = 10.minutes, keys = 8, answerBytes = 100)

    private fun claim(claim: String, at: Instant, digest: String = "a", request: RequestKey = key) =
        LedgerCommand.Claim(request, ClaimId(claim), at, RequestDigest(digest), expiresAt = at + 30.seconds)

    private fun complete(claim: String, at: Instant, bytes: Int = 1, request: RequestKey = key) =
        LedgerCommand.Complete(request, ClaimId(claim), at, RecordedAnswer(200, "OK", emptyList(), ByteArray(bytes)))

    @Test
    fun repeatedRequestReceivesTheStatusOfTheFirst() {
        val state = LedgerState(bounds)
        assertEquals(LedgerReply.Claimed, state.apply(claim("1", start)))
        assertEquals(LedgerReply.Claimed, state.apply(claim("1", start)), "the same claim proposed again")
        assertEquals(LedgerReply.InProgress(start + 30.seconds), state.apply(claim("2", start + 1.seconds)))
        assertEquals(LedgerReply.Reused, state.apply(claim("3", start + 1.seconds, digest = "b")))
        state.apply(complete("2", start + 2.seconds))
        assertIs<LedgerReply.InProgress>(state.apply(claim("2", start + 2.seconds)), "another claim cannot complete it")
        state.apply(complete("1", start + 2.seconds))
        assertIs<LedgerReply.Answered>(state.apply(claim("4", start + 9.minutes)))
        assertEquals(LedgerReply.Claimed, state.apply(claim("5", start + 10.minutes)), "the window has passed")
    }

    @Test
    fun keyOfALostSenderIsNotClaimedAgain() {
        val state = LedgerState(bounds)
        state.apply(claim("1", start))
        assertEquals(LedgerReply.Lost(UnknownReason.SENDER_LOST), state.apply(claim("2", start + 30.seconds)))
        state.apply(LedgerCommand.Release(key, ClaimId("1"), start + 31.seconds))
        assertEquals(LedgerReply.Lost(UnknownReason.SENDER_LOST), state.apply(claim("3", start + 32.seconds)))
    }

    @Test
    fun releasedKeyCanBeClaimedAgain() {
        val state = LedgerState(bounds)
        state.apply(claim("1", start))
        state.apply(LedgerCommand.Release(key, ClaimId("1"), start))
        assertEquals(LedgerReply.Claimed, state.apply(claim("2", start)))
    }

    @Test
    fun fullLedgerRefusesNewKeysAndKeepsExistingOnes() {
        val state = LedgerState(bounds)
        val keys = List(9) { RequestKey(ServiceId("print"), IdempotencyKey("order-$it")) }
        keys.take(8).forEach { assertEquals(LedgerReply.Claimed, state.apply(claim("1", start, request = it))) }
        assertEquals(LedgerReply.Full, state.apply(claim("1", start, request = keys[8])))
        state.apply(complete("1", start, bytes = 90, request = keys[0]))
        state.apply(complete("1", start, bytes = 90, request = keys[1]))
        assertIs<LedgerReply.Answered>(state.apply(claim("2", start, request = keys[0])))
        val tooLarge = LedgerReply.Lost(UnknownReason.ANSWER_NOT_KEPT)
        assertEquals(tooLarge, state.apply(claim("2", start, request = keys[1])))
    }

    @Test
    fun keyIsClaimedOnceInAWindowAlsoAfterSnapshotRestore() {
        for (seed in 1..300) {
            val random = Random(seed)
            var state = LedgerState(bounds)
            val replica = LedgerState(bounds)
            val holders = HashMap<RequestKey, String>()
            var at = start
            var step = 0
            while (at < start + bounds.window - 20.seconds) {
                step++
                at += random.nextInt(0, 20).seconds
                val request = RequestKey(ServiceId("print"), IdempotencyKey("order-${random.nextInt(4)}"))
                val claim = if (random.nextInt(3) == 0) holders[request] ?: "$step" else "$step"
                val command = command(random, request, claim, at - random.nextInt(0, 5).seconds)
                val reply = state.apply(command)
                val replicaReply = replica.apply(command)
                assertEquals(reply.toString().substringBefore('@'), replicaReply.toString().substringBefore('@'))
                if (reply == LedgerReply.Claimed) {
                    val earlier = holders.put(request, claim)
                    val isSameClaim = earlier == null || earlier == claim
                    assertTrue(isSameClaim, "seed $seed: $request claimed by $earlier and $claim")
                }
                if (command is LedgerCommand.Release && holders[request] == claim) holders.remove(request)
                if (random.nextInt(10) == 0) state = LedgerState(bounds).also { it.restore(state.snapshot()) }
            }
        }
    }

    private fun command(random: Random, request: RequestKey, claim: String, at: Instant): LedgerCommand =
        when (random.nextInt(6)) {
            0 -> complete(claim, at, request = request)
            1 -> LedgerCommand.Lose(request, ClaimId(claim), at, UnknownReason.CONNECTION_LOST)
            2 -> LedgerCommand.Release(request, ClaimId(claim), at)
            else -> claim(claim, at, request = request)
        }
}
