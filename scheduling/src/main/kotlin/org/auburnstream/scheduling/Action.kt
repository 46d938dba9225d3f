package org.auburnstream.scheduling

import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration

/** Output of a [Coordinator], carried out by its shell in the order given. */
public sealed interface Action {
    /** Propose [batch]; followed by [Event.BatchApplied] or [Event.BatchRejected] before another is asked for. */
    public data class Commit(val batch: RecordBatch) : Action

    /** Answer the call. */
    public data class Answer(val call: CallId, val reply: Reply) : Action

    /** Order [worker] to start [run]. */
    public data class Start(
        val worker: WorkerProfile,
        val run: RunId,
        val payload: String,
        val untilMs: Long,
        val saved: String,
        val ticket: String?,
    ) : Action

    /** Order [worker] to stop [run]. */
    public data class Stop(val worker: WorkerProfile, val run: RunId) : Action

    /** Renew the lease of [worker] until [untilMs] on its clock, note its ends and ask what runs there. */
    public data class Look(val worker: WorkerProfile, val untilMs: Long?, val lastRecordedEnd: Long, val wait: Duration) :
        Action

    /** Let [run] work at [percent] of its speed. */
    public data class Pace(val worker: WorkerProfile, val run: RunId, val percent: Int) : Action

    /** Ask which of [workers] may run [step]. */
    public data class AskAdvice(val step: StepId, val workers: List<WorkerId>) : Action

    /** Order the maintenance of [vm]. */
    public data class OrderUpkeep(val wave: Long, val vm: VmId) : Action

    /** Order the move of [vm] to the pool of [service]. */
    public data class OrderMove(val vm: VmId, val service: ServiceId) : Action

    /** Ask the platform for its VMs. */
    public data object ListVms : Action

    /** Write a line to the log: what was decided, for which id and from which inputs. */
    public data class Note(val event: String, val fields: List<Pair<String, Any?>>) : Action
}

/** Answer to a call. */
public sealed interface Reply {
    /** The order is stored. */
    public data object Accepted : Reply

    /** Nothing was stored and nothing runs; the caller may come back after [retryAfter]. */
    public data class NotAccepted(val reason: RefusalReason, val retryAfter: Duration) : Reply

    /** Whether the order is stored is not known. */
    public data object Unknown : Reply

    /** There is no such job. */
    public data object NoSuchJob : Reply
}

/** Why an order was not accepted. */
public enum class RefusalReason {
    /** The group has no leader that could store it. */
    NO_LEADER,

    /** The queue has more work than it can do in time. */
    OVERLOADED,
}
