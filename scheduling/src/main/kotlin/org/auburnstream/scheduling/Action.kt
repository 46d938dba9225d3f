package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration

/** Output of a [Coordinator]; the caller carries out the actions in the order given. */
public sealed interface Action {
    /**
     * Proposes [batch] to the replicated log.
     *
     * The caller answers with [Event.BatchApplied] or [Event.BatchRejected]; until then no other batch is proposed.
     */
    public data class Commit(val batch: RecordBatch) : Action

    /** Sends [reply] to the call. */
    public data class Answer(val call: CallId, val reply: Reply) : Action

    /**
     * Orders [worker] to start [run].
     *
     * @property epoch epoch of the order's [OrderFence].
     * @property untilMs end of the lease on the worker's clock.
     * @property saved saved state to resume from; empty if there is none.
     * @property ticket permission from the advice service, or null if the queue needs none.
     * @property answerTimeout time after which the order counts as unanswered.
     */
    public data class Start(
        val worker: WorkerProfile,
        val epoch: Int,
        val run: RunId,
        val payload: String,
        val untilMs: Long,
        val saved: String,
        val ticket: String?,
        val answerTimeout: Duration,
    ) : Action

    /**
     * Orders [worker] to stop [run].
     *
     * @property epoch epoch of the order's [OrderFence].
     * @property answerTimeout time after which the order counts as unanswered.
     */
    public data class Stop(val worker: WorkerProfile, val epoch: Int, val run: RunId, val answerTimeout: Duration) :
        Action

    /**
     * Queries the status of [worker] and renews its lease.
     *
     * @property epoch epoch of the query's [OrderFence].
     * @property number increases with each query to one worker; the answers of earlier queries are ignored.
     * @property untilMs end of the renewed lease on the worker's clock, or null to leave the lease unchanged.
     * @property lastRecordedEnd number of the last end that the worker can drop because it is recorded; 0 if the query
     *   may reach a later incarnation, which counts its ends anew.
     * @property wait longest time for which the worker may delay its answer while nothing changes.
     * @property answerTimeout time after [wait] after which the query counts as unanswered.
     */
    public data class Look(
        val worker: WorkerProfile,
        val epoch: Int,
        val number: Long,
        val untilMs: Long?,
        val lastRecordedEnd: Long,
        val wait: Duration,
        val answerTimeout: Duration,
    ) : Action

    /** Limits [run] to [percent] of its full speed; [epoch] is that of the order's [OrderFence]. */
    public data class Pace(val worker: WorkerProfile, val epoch: Int, val run: RunId, val percent: Int) : Action

    /** Asks the advice service which of [workers] may run [step]. */
    public data class AskAdvice(val step: StepId, val workers: List<WorkerId>) : Action

    /** Orders the maintenance of [vm] from the platform. */
    public data class OrderUpkeep(val wave: Long, val vm: VmId) : Action

    /** Orders the move of [vm] to the pool of [service] from the platform. */
    public data class OrderMove(val vm: VmId, val service: ServiceId) : Action

    /** Requests the list of VMs from the platform; [requestedAt] is returned with it. */
    public data class ListVms(val requestedAt: MonotonicTime) : Action

    /** Writes a log line: the decision, the ids it concerns and the inputs it is based on. */
    public data class Note(val event: String, val fields: List<Pair<String, Any?>>) : Action
}

/** Reply to a call. */
public sealed interface Reply {
    /** The request is committed. */
    public data object Accepted : Reply

    /** Nothing was stored and nothing runs; the caller may retry after [retryAfter]. */
    public data class NotAccepted(val reason: RefusalReason, val retryAfter: Duration) : Reply

    /** The outcome is unknown: the request may or may not be committed. */
    public data object Unknown : Reply

    /** Nothing was stored: the request takes up to [bytes] in the log, which takes [maxBytes]; it never fits. */
    public data class TooLarge(val bytes: Int, val maxBytes: Int) : Reply

    /** There is no such job. */
    public data object NoSuchJob : Reply

    /** The id belongs to a job that the caller may not access; nothing was changed. */
    public data object NotPermitted : Reply
}

/** Reason why a request was not accepted. */
public enum class RefusalReason {
    /** The group has no leader that could store it. */
    NO_LEADER,

    /** The queue holds the maximum number of waiting jobs. */
    OVERLOADED,

    /** The jobs that are known take up the memory that is set aside for them. */
    STORE_FULL,

    /** The tenant sends more than its weight, and the job would miss its objective. */
    BEYOND_WEIGHT,
}
