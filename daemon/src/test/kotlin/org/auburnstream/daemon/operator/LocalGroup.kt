package org.auburnstream.daemon.operator

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.auburnstream.consensus.StateMachine
import org.auburnstream.daemon.replication.ProposeResult
import org.auburnstream.daemon.replication.ReadResult
import org.auburnstream.daemon.replication.RejectReason
import org.auburnstream.daemon.replication.ReplicaRole
import org.auburnstream.daemon.replication.ReplicaStatus
import org.auburnstream.daemon.replication.ReplicatedGroup
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import kotlin.time.Duration

/** Single-replica group that commits immediately and can simulate lost answers and rejections. */
class LocalGroup(private val machine: StateMachine) : ReplicatedGroup {
    private val mutex = Mutex()
    private val leader = DaemonId("d1")
    override val id = GroupId("control")
    override val status = MutableStateFlow(ReplicaStatus(ReplicaRole.LEADER, 1, leader, LogIndex(0), LogIndex(0)))

    /** Number of next proposals whose answers are lost; decremented with each proposal. */
    var answersToLose = 0

    /** Reason for rejecting every proposal and read, or null to accept them. */
    var rejection: RejectReason? = null

    override suspend fun propose(command: ByteArray, timeout: Duration): ProposeResult = mutex.withLock {
        rejection?.let { return ProposeResult.Rejected(it) }
        val index = status.value.commitIndex + 1
        val response = machine.apply(index, command)
        status.value = status.value.copy(commitIndex = index, appliedIndex = index)
        if (answersToLose-- > 0) ProposeResult.Unknown else ProposeResult.Committed(index, response)
    }

    override suspend fun readBarrier(timeout: Duration): ReadResult =
        rejection?.let { ReadResult.Refused(it) } ?: ReadResult.Ready(status.value.appliedIndex)
}
