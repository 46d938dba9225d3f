package org.auburnstream.daemon.replication

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.auburnstream.consensus.Effect
import org.auburnstream.consensus.Incarnation
import org.auburnstream.consensus.ReplicaSettings
import org.auburnstream.consensus.StateMachine
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import org.auburnstream.storage.MemoryReplicaStore
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StorageError
import org.auburnstream.storage.StoreResult
import java.io.IOException
import java.io.UncheckedIOException
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Group of daemons on virtual time whose simulated links lose, delay and duplicate messages. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class GroupFixture(
    private val test: TestScope,
    private val folder: Path,
    seed: Int = 1,
    private val voters: Int = 3,
    learners: Int = 2,
    private val snapshotEntries: Long = 10_000,
    private val runnerSeed: Int? = null,
) {
    val random = Random(seed)
    var loss = 0.0
    var duplication = 0.0
    var maxDelay = 2.milliseconds
    val names = (1..voters + learners).map { DaemonId("d$it") }
    private val unreachable = HashSet<DaemonId>()
    private val daemons = names.associateWith { DaemonUnderTest(it) }.toMutableMap()

    operator fun get(name: DaemonId) = daemons.getValue(name)

    suspend fun start() = daemons.values.forEach { it.start() }

    fun running() = names.filter { it !in unreachable }.map { get(it) }

    suspend fun awaitLeader(): DaemonUnderTest {
        repeat(200) {
            running().firstOrNull { it.group.quorumContactTime != null }?.let { return it }
            delay(50.milliseconds)
        }
        error("no leader: ${running().map { it.group.status.value }}")
    }

    suspend fun awaitApplied(count: Int) {
        repeat(200) {
            if (running().all { it.machine.commands.size >= count }) return
            delay(50.milliseconds)
        }
        error("not applied: ${running().map { it.machine.commands.size }}")
    }

    suspend fun stop(name: DaemonId) {
        unreachable.add(name)
        get(name).group.stop()
    }

    /** Drops all messages to and from [name], whose daemon keeps running. */
    fun isolate(name: DaemonId) {
        unreachable.add(name)
    }

    fun reconnect(name: DaemonId) {
        unreachable.remove(name)
    }

    suspend fun restart(name: DaemonId) {
        unreachable.remove(name)
        daemons[name] = DaemonUnderTest(name).also { it.start() }
    }

    fun deleteStorage(name: DaemonId) {
        folder.resolve(name.value).toFile().deleteRecursively()
    }

    inner class DaemonUnderTest(private val name: DaemonId) : PeerTransport {
        private val handlers = HashMap<PeerChannel, suspend (DaemonId, ByteArray) -> Unit>()
        val machine = RecordingStateMachine()
        val failures = ArrayList<GroupFailure>()

        /** Thrown by [send] unless it is null. */
        var sendError: Throwable? = null

        /** Time by which the clock is ahead of virtual time, to simulate a process that was frozen. */
        var clockAdvance = Duration.ZERO
        private val store = FailingStore(openStore())
        val group = ReplicatedGroupRunner(
            scope = test.backgroundScope,
            transport = this,
            machine = machine,
            store = store,
            configuration = GroupConfiguration(
                id = GroupId("control"),
                initialVoters = names.take(voters).toSet(),
                settings = ReplicaSettings.Default.copy(replacementDelay = 3.seconds, snapshotChunkBytes = 512),
                snapshotEntries = snapshotEntries,
            ),
            clock = { MonotonicTime(test.currentTime * 1_000_000) + clockAdvance },
            random = Random(runnerSeed ?: random.nextInt()),
            storeDispatcher = StandardTestDispatcher(test.testScheduler),
            onFailure = { failures.add(it) },
        )

        fun makeSyncFail() {
            store.isFailing = true
        }

        fun makeSyncThrow() {
            store.isThrowing = true
        }

        val isIsolated get() = name in unreachable

        override val self get() = name
        override val peers get() = names.toSet() - name

        suspend fun start() = check(group.start() is StoreResult.Done)

        override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean {
            sendError?.let { throw it }
            val copies = if (random.nextDouble() < duplication) 2 else 1
            repeat(copies) {
                if (random.nextDouble() >= loss) test.backgroundScope.launch { deliver(to, channel, payload) }
            }
            return true
        }

        override fun register(channel: PeerChannel, handler: suspend (from: DaemonId, payload: ByteArray) -> Unit) {
            handlers[channel] = handler
        }

        private suspend fun deliver(to: DaemonId, channel: PeerChannel, payload: ByteArray) {
            delay(random.nextLong(maxDelay.inWholeMilliseconds + 1).milliseconds)
            if (to !in unreachable && name !in unreachable) get(to).handlers[channel]?.invoke(name, payload)
        }

        private fun openStore(): ReplicaStore {
            val durable = names.indexOf(name) < voters + 1
            if (!durable) return MemoryReplicaStore(Incarnation(random.nextLong()))
            val disk = DiskFolder.open(folder.resolve(name.value)) as StoreResult.Done
            val opened = FileReplicaStore.open(disk.value, random, segmentBytes = 4096)
            check(opened is StoreResult.Done) { "$opened" }
            return opened.value
        }
    }
}

/** Store whose log writes fail with a sync error while [isFailing] is true, and throw while [isThrowing] is. */
private class FailingStore(private val store: ReplicaStore) : ReplicaStore by store {
    var isFailing = false
    var isThrowing = false

    override fun persist(writes: List<Effect.Persist>): StoreResult<Unit> = when {
        isThrowing -> throw UncheckedIOException(IOException("Map failed"))
        isFailing -> StoreResult.Failed(StorageError.SyncFailed("log", "Input/output error"))
        else -> store.persist(writes)
    }
}

/** State machine that records its commands and answers each with the number of commands applied so far. */
internal class RecordingStateMachine : StateMachine {
    val commands = ArrayList<String>()

    /** Thrown by [apply] unless it is null. */
    var error: Throwable? = null

    override fun apply(index: LogIndex, command: ByteArray): ByteArray {
        error?.let { throw it }
        commands.add(command.decodeToString())
        return commands.size.toString().encodeToByteArray()
    }

    override fun snapshot(): ByteArray = commands.joinToString(",").encodeToByteArray()

    override fun restore(index: LogIndex, snapshot: ByteArray) {
        commands.clear()
        commands.addAll(snapshot.decodeToString().split(',').filter { it.isNotEmpty() })
    }
}

/** Repeats the proposal until it is committed; the command may be committed more than once. */
internal suspend fun ReplicatedGroup.proposeUntilCommitted(
    command: String,
    timeout: Duration = 2.seconds,
): ProposeResult {
    repeat(50) {
        val result = propose(command.encodeToByteArray(), timeout)
        if (result is ProposeResult.Committed) return result
    }
    error("$command was not committed")
}
