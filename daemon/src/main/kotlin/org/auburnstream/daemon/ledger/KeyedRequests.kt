package org.auburnstream.daemon.ledger

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.auburnstream.daemon.caller.CallerRequest
import org.auburnstream.daemon.caller.RequestHandler
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.daemon.target.AnswerBody
import org.auburnstream.daemon.target.HttpHeader
import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.model.DaemonId
import org.auburnstream.model.IdempotencyKey
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.NotRunReason
import org.auburnstream.model.Outcome
import org.auburnstream.model.UnknownReason
import org.auburnstream.routing.ledger.ClaimId
import org.auburnstream.routing.ledger.LedgerCommand
import org.auburnstream.routing.ledger.LedgerReply
import org.auburnstream.routing.ledger.RecordedAnswer
import org.auburnstream.routing.ledger.RecordedHeader
import org.auburnstream.routing.ledger.RequestDigest
import org.auburnstream.routing.ledger.RequestKey
import java.security.MessageDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs requests with an idempotency key at most once, through whatever daemon they are sent and sent again.
 *
 * The key is claimed in the replicated ledger before the request is sent. What became of the request is recorded
 * after the caller has its outcome, so that only the claim adds to its time; a daemon that ends in between leaves the
 * outcome unknown to a resend. Once claimed, a request is brought to its end even if its caller goes away, since its
 * answer is what the caller will ask for again. Requests without a key, and those whose method is idempotent, go to
 * [next] directly.
 *
 * @param scope what is claimed runs and is recorded here.
 * @param epoch grows with each start of this daemon.
 * @param wallClock stamps the commands; clocks of daemons may differ by up to [KeyedRequestSettings.clockSkew].
 */
public class KeyedRequests(
    private val scope: CoroutineScope,
    private val group: ReplicatedGroup,
    private val next: RequestHandler,
    private val self: DaemonId,
    private val epoch: Long,
    private val clock: () -> MonotonicTime,
    private val wallClock: () -> Instant,
    private val settings: KeyedRequestSettings = KeyedRequestSettings(),
) {
    /** See [RequestHandler]. */
    public suspend fun handle(request: CallerRequest, stream: suspend (TargetAnswer) -> Unit): Outcome<TargetAnswer> {
        val key = request.key
        if (key == null || request.idempotent) return next(request, stream)
        val claim = claimOf(request, key)
        return when (val reply = claim(claim, request)) {
            LedgerReply.Claimed -> scope.async { run(request, claim, stream) }.await()
            is LedgerReply.Answered -> Outcome.Answered(reply.answer.toAnswer())
            is LedgerReply.Lost -> Outcome.Unknown(reply.reason)
            is LedgerReply.InProgress -> Outcome.NotRun(NotRunReason.KEY_IN_PROGRESS, settings.retryAfter)
            LedgerReply.Reused -> Outcome.NotRun(NotRunReason.KEY_REUSED, settings.retryAfter)
            LedgerReply.Full -> Outcome.NotRun(NotRunReason.OVERLOADED, settings.fullRetryAfter)
            LedgerReply.Recorded, null -> {
                // The claim may yet be committed, but nothing was sent under it. An earlier request with the key may
                // have run, so this is not the place to say that the order was not run.
                scope.launch { record(LedgerCommand.Release(claim.request, claim.claim, wallClock())) }
                Outcome.Unknown(UnknownReason.KEY_NOT_RECORDED)
            }
        }
    }

    private fun claimOf(request: CallerRequest, key: IdempotencyKey): LedgerCommand.Claim {
        val at = wallClock()
        return LedgerCommand.Claim(
            request = RequestKey(request.service, key),
            claim = ClaimId("$self/$epoch/${request.id}"),
            at = at,
            digest = digest(request),
            expiresAt = at + (request.deadline - clock()) + settings.clockSkew,
        )
    }

    /** Claims until an answer is known; the same claim may be proposed again without harm. */
    private suspend fun claim(claim: LedgerCommand.Claim, request: CallerRequest): LedgerReply? {
        val command = LedgerCodec.encode(claim)
        while (true) {
            val left = request.deadline - clock()
            if (!left.isPositive()) return null
            when (val result = group.propose(command, minOf(left, settings.proposeTimeout))) {
                is ProposeResult.Committed -> return LedgerCodec.decodeReply(result.response)
                is ProposeResult.Rejected -> return null
                ProposeResult.Unknown -> delay(settings.resendPause)
            }
        }
    }

    private suspend fun run(
        request: CallerRequest,
        claim: LedgerCommand.Claim,
        stream: suspend (TargetAnswer) -> Unit,
    ): Outcome<TargetAnswer> {
        val outcome =
            try {
                next(request, stream)
            } catch (e: Exception) {
                // Most likely a streamed answer whose caller went away; in any case the request may have run.
                scope.launch { record(lose(claim, UnknownReason.ANSWER_NOT_KEPT)) }
                throw e
            }
        scope.launch { record(recordOf(claim, outcome)) }
        return outcome
    }

    private fun recordOf(claim: LedgerCommand.Claim, outcome: Outcome<TargetAnswer>): LedgerCommand = when (outcome) {
        is Outcome.Answered -> LedgerCommand.Complete(claim.request, claim.claim, wallClock(), kept(outcome.answer))
        is Outcome.Unknown -> lose(claim, outcome.reason)
        is Outcome.NotRun -> LedgerCommand.Release(claim.request, claim.claim, wallClock())
    }

    private fun lose(claim: LedgerCommand.Claim, reason: UnknownReason) =
        LedgerCommand.Lose(claim.request, claim.claim, wallClock(), reason)

    /** Proposes until it is committed; commands of a claim that is settled already have no effect. */
    private suspend fun record(command: LedgerCommand) {
        val bytes = LedgerCodec.encode(command)
        repeat(settings.recordAttempts) {
            if (group.propose(bytes, settings.proposeTimeout) is ProposeResult.Committed) return
            delay(settings.resendPause)
        }
    }

    private fun kept(answer: TargetAnswer): RecordedAnswer? {
        val body = answer.body as? AnswerBody.Whole ?: return null
        if (body.bytes.size > settings.keptBytes) return null
        val headers = answer.headers.map { RecordedHeader(it.name, it.value) }
        return RecordedAnswer(answer.status, answer.reason, headers, body.bytes)
    }

    private fun RecordedAnswer.toAnswer(): TargetAnswer =
        TargetAnswer(status, reason, headers.map { HttpHeader(it.name, it.value) }, AnswerBody.Whole(body))

    private fun digest(request: CallerRequest): RequestDigest {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${request.method.value} ${request.path}\n".toByteArray())
        digest.update(request.body)
        return RequestDigest(digest.digest().joinToString("") { "%02x".format(it) })
    }
}

/**
 * Settings of [KeyedRequests].
 *
 * @property clockSkew largest difference between the wall clocks of two daemons.
 * @property proposeTimeout longest wait for one proposal.
 * @property resendPause pause before a proposal of unknown result is proposed again.
 * @property recordAttempts proposals of a record before it is given up; a resend then gets an unknown outcome.
 * @property keptBytes largest body of an answer that is kept for resends.
 * @property retryAfter time to come back while the first request is in progress.
 * @property fullRetryAfter time to come back while the ledger is full.
 */
public data class KeyedRequestSettings(
    val clockSkew: Duration = 5.seconds,
    val proposeTimeout: Duration = 2.seconds,
    val resendPause: Duration = 50.milliseconds,
    val recordAttempts: Int = 100,
    val keptBytes: Int = 16_384,
    val retryAfter: Duration = 1.seconds,
    val fullRetryAfter: Duration = 60.seconds,
)
