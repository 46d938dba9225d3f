package org.auburnstream.daemon.operator

import org.auburnstream.control.RollOutProgress
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.daemon.state.ReplicatedState
import org.auburnstream.daemon.state.StateMessages
import org.auburnstream.model.LogIndex
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Implements [ControlService] on this daemon's replica of the control group.
 *
 * @param rollOut waits for a change to be in force; see [ControlService.awaitInForce].
 * @param timeout longest time that a proposal or a read may take.
 */
public class GroupControlService(
    private val group: ReplicatedGroup,
    private val state: ReplicatedState,
    private val rollOut: suspend (index: LogIndex, timeout: Duration) -> RollOutProgress,
    private val timeout: Duration = 5.seconds,
) : ControlService {
    override suspend fun propose(command: ReplicatedCommand): Proposal =
        when (val result = group.propose(StateMessages.encode(command), timeout)) {
            is ProposeResult.Committed -> answered(result)
            is ProposeResult.Rejected -> Proposal.NotRun(result.reason)
            ProposeResult.Unknown -> Proposal.Unknown
        }

    override suspend fun read(): ReadOutcome = when (val result = group.readBarrier(timeout)) {
        is ReadResult.Ready -> ReadOutcome.Current(state.view.value)
        is ReadResult.Refused -> ReadOutcome.Unavailable(result.reason)
    }

    override suspend fun awaitInForce(index: LogIndex, timeout: Duration): RollOutProgress = rollOut(index, timeout)

    // A leader of another version may send an answer that this version cannot decode; the outcome is then unknown.
    private fun answered(result: ProposeResult.Committed): Proposal =
        when (val answer = StateMessages.decodeAnswer(result.response)) {
            null -> Proposal.Unknown
            else -> Proposal.Answered(result.index, answer)
        }
}
