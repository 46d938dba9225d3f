package org.auburnstream.daemon.operator

import org.auburnstream.control.RollOutProgress
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.daemon.state.CommandAnswer
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.daemon.state.StateView
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** Gives the operators' API access to the control group: proposals, consistent reads and roll-out progress. */
public interface ControlService {
    /** Proposes [command] once and waits for the group's answer. */
    public suspend fun propose(command: ReplicatedCommand): Proposal

    /** Returns the state after a quorum confirms that it reflects every change accepted before the call. */
    public suspend fun read(): ReadOutcome

    /** Waits until the change committed at [index] is in force everywhere, or until [timeout]. */
    public suspend fun awaitInForce(index: LogIndex, timeout: Duration): RollOutProgress
}

/** Result of a proposal. */
public sealed interface Proposal {
    /** The group applied the command at [index] and gave [answer]. */
    public data class Answered(val index: LogIndex, val answer: CommandAnswer) : Proposal

    /** The command was not and will not be applied. */
    public data class NotRun(val reason: RejectReason) : Proposal

    /** The command may have been applied; the answer is lost. */
    public data object Unknown : Proposal
}

/** Result of a read. */
public sealed interface ReadOutcome {
    /** The state reflects every change accepted before the read began. */
    public data class Current(val view: StateView) : ReadOutcome

    /** No quorum confirmed the state in time. */
    public data class Unavailable(val reason: RejectReason) : ReadOutcome
}
