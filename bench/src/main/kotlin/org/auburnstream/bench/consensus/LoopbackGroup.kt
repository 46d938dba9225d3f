package org.auburnstream.bench.consensus

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.auburnstream.consensus.StateMachine
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.GroupConfiguration
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import org.auburnstream.storage.StoreResult
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Voters in this process, each with its own folder on disk, that hand messages over in memory. */
internal class LoopbackGroup(
    private val scope: CoroutineScope,
    private val folder: Path,
    private val seed: Long,
    voters: Int,
) {
    private val names = (1..voters).map { DaemonId("daemon-$it") }
    private val members = names.associateWith { Loopback(it) }
    val groups: List<ReplicatedGroupRunner> = names.map(::runner)

    suspend fun start() {
        groups.forEach { check(it.start() is StoreResult.Done) }
    }

    /** Waits for a leader that a quorum follows. */
    suspend fun awaitLeader(): ReplicatedGroupRunner {
        while (true) {
            groups.firstOrNull { it.quorumContactTime != null }?.let { return it }
            delay(POLL)
        }
    }

    suspend fun stop() = groups.forEach { it.stop() }

    private fun runner(name: DaemonId): ReplicatedGroupRunner {
        val disk = opened(DiskFolder.open(folder.resolve(name.value)))
        return ReplicatedGroupRunner(
            scope = scope,
            transport = members.getValue(name),
            machine = CountingMachine(),
            store = opened(FileReplicaStore.open(disk, Random(seed + name.hashCode()))),
            configuration = GroupConfiguration(GroupId("control"), names.toSet()),
            clock = { MonotonicTime(System.nanoTime()) },
            random = Random(seed - name.hashCode()),
        )
    }

    private inner class Loopback(override val self: DaemonId) : PeerTransport {
        private val handlers = HashMap<PeerChannel, suspend (DaemonId, ByteArray) -> Unit>()

        override val peers: Set<DaemonId>
            get() = names.toSet() - self

        override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean {
            val handler = members.getValue(to).handlers[channel] ?: return false
            scope.launch { handler(self, payload) }
            return true
        }

        override fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit) {
            handlers[channel] = handler
        }
    }

    private companion object {
        val POLL = 20.milliseconds
    }
}

/** Keeps the number of commands. */
internal class CountingMachine : StateMachine {
    var count = 0L
        private set

    override fun apply(index: LogIndex, command: ByteArray): ByteArray {
        count += 1
        return ByteArray(0)
    }

    override fun snapshot(): ByteArray = count.toString().encodeToByteArray()

    override fun restore(index: LogIndex, snapshot: ByteArray) {
        count = snapshot.decodeToString().toLong()
    }
}

internal fun <T> opened(result: StoreResult<T>): T = when (result) {
    is StoreResult.Done -> result.value
    is StoreResult.Failed -> error(result.error.message)
}
