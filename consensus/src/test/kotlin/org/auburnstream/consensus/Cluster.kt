package org.auburnstream.consensus

import org.auburnstream.model.DaemonId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Faults of links and disks.
 *
 * @property loss probability that a message is lost.
 * @property duplication probability that a message is delivered twice.
 * @property maxDelay maximum delay of a message.
 * @property maxSyncDelay maximum duration of a disk sync.
 */
internal data class FaultProfile(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val maxDelay: Duration = 1.milliseconds,
    val maxSyncDelay: Duration = 5.milliseconds,
)

/**
 * Simulates a group of replicas with faulty links and disks in virtual time.
 *
 * After each step it checks the safety properties: one leader per term, one payload per index and term, and no change
 * of a committed entry. The first nodes are the initial voters, followed by durable spares and diskless learners.
 */
internal class Cluster(
    seed: Int,
    voters: Int = 3,
    spares: Int = 0,
    diskless: Int = 0,
    settings: ReplicaSettings = ReplicaSettings.Default,
    private val snapshotIntervalEntries: Int = 40,
) {
    val random = Random(seed)
    val settings = settings.copy(retainedBytes = 500)
    val nodes = (1..voters + spares + diskless).map { Node(DaemonId("d$it"), durable = it <= voters + spares) }
    var faults = FaultProfile()
    var time = MonotonicTime.Zero
        private set
    var messages = 0L
        private set
    var onSend: (Effect.Send) -> Unit = {}

    /** Committed entries by index, as first applied by any node. */
    val committed = sortedMapOf<Long, LogEntry>()

    /** Payload of every entry that any node wrote, by index and term. */
    private val written = HashMap<Pair<LogIndex, Long>, EntryPayload>()
    private val leaders = HashMap<Long, MemberId>()
    private val blockedLinks = HashSet<Pair<Node, Node>>()
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var nextEventOrder = 0L
    private val initialVoters = nodes.take(voters).map { it.daemon }.toSet()
    val history = OperationHistory()

    val leader: Node?
        get() = nodes.filter { it.replica?.role == RaftRole.LEADER && !it.isPaused }.maxByOrNull { it.replica!!.term }

    init {
        nodes.forEach { it.start() }
    }

    fun after(delay: Duration, action: () -> Unit) {
        events.add(Event(time + delay, nextEventOrder++, action))
    }

    fun run(duration: Duration) = runUntil(duration) { false }

    /** Runs until [done] returns true or [limit] has passed; returns the last result of [done]. */
    fun runUntil(limit: Duration, done: () -> Boolean): Boolean {
        val end = time + limit
        while (!done()) {
            val next = events.peek()?.takeIf { it.at <= end }
            if (next == null) {
                time = end
                return done()
            }
            events.poll()
            time = next.at
            next.action()
        }
        return true
    }

    fun awaitLeader(limit: Duration = 5.seconds): Node {
        check(runUntil(limit) { leader?.replica?.quorumContactTime != null }) { "no leader within $limit" }
        return leader!!
    }

    fun blockLink(from: Node, to: Node) = blockedLinks.add(from to to)

    fun isolate(node: Node) = nodes.forEach {
        blockLink(it, node)
        blockLink(node, it)
    }

    fun heal() = blockedLinks.clear()

    fun node(daemon: DaemonId) = nodes.first { it.daemon == daemon }

    /** Ends all faults, restarts crashed nodes, and checks that all nodes reach the same state with all commits. */
    fun healAndCheckConvergence() {
        heal()
        faults = FaultProfile()
        nodes.forEach {
            it.resume()
            if (it.replica == null) it.start()
        }
        var last = -1L
        var answer: String? = null
        check(
            runUntil(30.seconds) {
                if (answer == null && leader?.replica?.quorumContactTime != null) answer = ""
                if (answer == "") {
                    answer = "sent"
                    // A proposal of a deposed leader stays pending until its index is committed, so retry after 3 s.
                    after(3.seconds) { if (answer == "sent") answer = "" }
                    leader?.propose("end${nextEventOrder++} end 0") { answer = it ?: "" } ?: run { answer = "" }
                }
                last = committed.keys.lastOrNull() ?: 0
                answer?.startsWith("conflict") == true || answer?.startsWith("accepted") == true
            },
        ) { "no progress after the faults ended: ${describe()}" }
        check(runUntil(20.seconds) { nodes.all { it.machine.applied >= last } }) { "not converged: ${describe()}" }
        run(1.seconds)
        val states = nodes.map { it.machine.snapshot().decodeToString() }.toSet()
        check(states.size == 1) { "states differ: ${describe()}" }
        history.checkLinearizable()
    }

    /** Whether each configuration known to any node that has [node] as a voter keeps a quorum of disks without it. */
    fun survivesLossOf(node: Node): Boolean {
        val intact = nodes.filter { it.durable && it != node }.map { it.id }.toSet()
        val knownConfigurations = nodes.flatMap { listOfNotNull(it.disk.configuration, it.replica?.configuration) }
        return knownConfigurations.filter { it.isVoter(node.id) }.all { it.isQuorum { voter -> voter in intact } }
    }

    fun describe() = nodes.joinToString {
        "${it.daemon} ${it.replica?.role} t${it.replica?.term} ${it.machine.applied}"
    }

    private fun deliver(from: Node, send: Effect.Send) {
        messages += 1
        onSend(send)
        val to = node(send.to)
        if (from to to in blockedLinks || random.nextDouble() < faults.loss) return
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) {
            after(delay(faults.maxDelay)) { to.receive(ReplicaInput.MessageReceived(send.envelope)) }
        }
    }

    private fun delay(max: Duration) = random.nextLong(1, max.inWholeMicroseconds + 2).microseconds

    private class Event(val at: MonotonicTime, val order: Long, val action: () -> Unit)

    /** State of a node that survives a crash. */
    class Disk {
        var hardState = HardState()
        var snapshot: SnapshotMetadata? = null
        var snapshotBytes = ByteArray(0)
        val entries = ArrayList<LogEntry>()

        fun write(effect: Effect.Persist, limit: Int = Int.MAX_VALUE) {
            effect.hardState?.let { hardState = it }
            effect.truncateFrom?.let { from -> entries.removeAll { it.index >= from } }
            entries.addAll(effect.entries.take(limit))
        }

        val configuration: Configuration
            get() = entries.mapNotNull { it.payload as? EntryPayload.Membership }.lastOrNull()?.configuration
                ?: snapshot?.configuration
                ?: Configuration()

        fun restored() = RestoredState(hardState, snapshot, snapshotBytes.size.toLong(), entries.toList())
    }

    inner class Node(val daemon: DaemonId, val durable: Boolean) {
        var disk = Disk()
        var incarnation = 1L
        var replica: Replica? = null
            private set
        var machine = SettingsStateMachine()
            private set
        private var processNumber = 0
        private var inputsWhilePaused: ArrayList<ReplicaInput>? = null
        private val pendingWrites = ArrayDeque<Effect>()
        private var nextTickAt: MonotonicTime? = null
        private var requestCount = 0L
        private val proposals = HashMap<ProposalId, (String?) -> Unit>()
        private val proposalsByIndex = HashMap<LogIndex, ProposalId>()
        private val reads = HashMap<ReadId, (Long?) -> Unit>()
        val membershipResults = ArrayList<MembershipResult>()
        val id get() = MemberId(daemon, Incarnation(incarnation))
        val isPaused get() = inputsWhilePaused != null

        fun start() {
            if (!durable) incarnation += 1
            processNumber += 1
            machine = SettingsStateMachine()
            if (!durable) disk = Disk()
            disk.snapshot?.let { machine.restore(it.index, disk.snapshotBytes) }
            val group = GroupId("control")
            val peers = nodes.map { it.daemon }.toSet()
            val member = Member(id, durable = durable)
            replica =
                Replica(member, group, disk.restored(), initialVoters, {
                    peers
                }, Random(random.nextInt()), time, settings)
            nextTickAt = null
            schedule()
        }

        /** Ends the process; a random prefix of the writes in progress survives. */
        fun crash() {
            replica = null
            inputsWhilePaused = null
            processNumber += 1
            val survivors = pendingWrites.takeWhile {
                it is Effect.Persist
            }.let { it.take(random.nextInt(it.size + 1)) }
            survivors.forEach { disk.write(pendingWrites.removeFirst() as Effect.Persist) }
            (pendingWrites.firstOrNull() as? Effect.Persist)?.let {
                disk.write(it, random.nextInt(it.entries.size + 1))
            }
            pendingWrites.clear()
            listOf(proposals.values.map { { it(null) } }, reads.values.map { { it(null) } }).flatten().forEach { it() }
            proposals.clear()
            reads.clear()
            proposalsByIndex.clear()
        }

        fun wipe() {
            crash()
            disk = Disk()
            incarnation += 1
        }

        fun pause() {
            if (replica != null && inputsWhilePaused == null) inputsWhilePaused = ArrayList()
        }

        fun resume() {
            val inputs = inputsWhilePaused ?: return
            inputsWhilePaused = null
            inputs.forEach(::receive)
            receive(ReplicaInput.Tick)
        }

        fun propose(command: String, done: (String?) -> Unit) {
            val id = ProposalId(requestCount++)
            proposals[id] = done
            receive(ReplicaInput.Propose(id, command.encodeToByteArray()))
        }

        /** Requests a linearizable read of the last applied index. */
        fun read(done: (Long?) -> Unit) {
            val id = ReadId(requestCount++)
            reads[id] = done
            receive(ReplicaInput.ReadRequested(id))
        }

        fun change(change: MembershipChange) =
            receive(ReplicaInput.MembershipRequested(MembershipRequestId(requestCount++), change))

        fun receive(input: ReplicaInput) {
            val current = replica ?: return
            inputsWhilePaused?.let {
                it.add(input)
                return
            }
            val effects = current.handle(input, time)
            if (current.role == RaftRole.LEADER) {
                val other = leaders.getOrPut(current.term) { id }
                check(other == id) { "two leaders in term ${current.term}: $other and $id" }
                check(current.configuration.member(id)?.durable != false) { "$id leads without a disk" }
            }
            effects.forEach(::execute)
            schedule()
        }

        private fun schedule() {
            val deadline = maxOf(replica?.nextDeadline ?: return, time + 1.milliseconds)
            val planned = nextTickAt
            if (planned != null && planned <= deadline && planned > time) return
            nextTickAt = deadline
            val current = processNumber
            after(deadline - time) {
                if (processNumber == current) {
                    if (nextTickAt == time) nextTickAt = null
                    if (inputsWhilePaused == null) receive(ReplicaInput.Tick) else schedule()
                }
            }
        }

        private fun execute(effect: Effect) {
            when (effect) {
                is Effect.Send -> deliver(this, effect)
                is Effect.Persist -> persist(effect)
                is Effect.InstallSnapshot -> persist(effect)
                is Effect.Apply -> effect.entries.forEach(::apply)
                is Effect.SendSnapshotChunk -> sendChunk(effect)
                is Effect.CompleteProposal -> proposalsByIndex[effect.index] = effect.id
                is Effect.RejectProposal -> proposals.remove(effect.id)?.invoke(null)
                is Effect.AbandonProposal -> proposals.remove(effect.id)?.invoke(null)
                is Effect.CompleteRead -> reads.remove(effect.id)?.invoke(maxOf(effect.index.value, machine.applied))
                is Effect.RejectRead -> reads.remove(effect.id)?.invoke(null)
                is Effect.CompleteMembership -> membershipResults.add(effect.result)
            }
        }

        private fun persist(effect: Effect) {
            pendingWrites.add(effect)
            (effect as? Effect.Persist)?.entries?.forEach {
                val payload = written.getOrPut(it.index to it.term) { it.payload }
                check(payload == it.payload) { "entry ${it.index} of term ${it.term} has two payloads" }
            }
            if (effect is Effect.InstallSnapshot) machine.restore(effect.metadata.index, effect.bytes)
            if (pendingWrites.size == 1) sync()
        }

        private fun sync() {
            val current = processNumber
            val count = pendingWrites.size
            after(delay(faults.maxSyncDelay)) { if (processNumber == current) synced(count) }
        }

        private fun synced(count: Int) {
            var sequence = 0L
            repeat(count) {
                when (val effect = pendingWrites.removeFirst()) {
                    is Effect.Persist -> sequence = effect.sequence.also { disk.write(effect) }
                    is Effect.InstallSnapshot -> sequence = effect.sequence.also {
                        disk.snapshot = effect.metadata
                        disk.snapshotBytes = effect.bytes
                        disk.entries.clear()
                    }
                    else -> error("not a write: $effect")
                }
            }
            if (pendingWrites.isNotEmpty()) sync()
            receive(ReplicaInput.PersistCompleted(sequence))
            takeSnapshot()
        }

        /** Takes a snapshot of the applied state while no write is pending, as the daemon does between two writes. */
        private fun takeSnapshot() {
            val last = disk.snapshot?.index?.value ?: 0
            val current = replica ?: return
            if (pendingWrites.isNotEmpty() || inputsWhilePaused != null ||
                machine.applied - last < snapshotIntervalEntries
            ) {
                return
            }
            val metadata = current.snapshotMetadata(LogIndex(machine.applied))
            disk.snapshot = metadata
            disk.snapshotBytes = machine.snapshot()
            disk.entries.removeAll { it.index <= metadata.index }
            receive(ReplicaInput.SnapshotTaken(metadata, disk.snapshotBytes.size.toLong()))
        }

        private fun apply(entry: LogEntry) {
            val first = committed.getOrPut(entry.index.value) { entry }
            check(first == entry) { "committed entry ${entry.index} of term ${first.term} reverted to ${entry.term}" }
            val payload = entry.payload as? EntryPayload.Command
            val answer = payload?.let { machine.apply(entry.index, it.bytes).decodeToString() }
            if (payload == null) machine.restore(entry.index, machine.snapshot())
            proposalsByIndex.remove(entry.index)?.let { proposals.remove(it)?.invoke(answer) }
        }

        private fun sendChunk(effect: Effect.SendSnapshotChunk) {
            val snapshot = disk.snapshot
            if (snapshot != effect.metadata) return
            val end = minOf(disk.snapshotBytes.size.toLong(), effect.offset + effect.maxBytes).toInt()
            val bytes = disk.snapshotBytes.copyOfRange(effect.offset.toInt(), end)
            val total = disk.snapshotBytes.size.toLong()
            val chunk = ConsensusMessage.SnapshotChunk(effect.term, effect.metadata, effect.offset, total, bytes)
            val envelope = Envelope(GroupId("control"), id, effect.to.incarnation, chunk)
            deliver(this, Effect.Send(effect.to.daemon, envelope))
        }
    }
}
