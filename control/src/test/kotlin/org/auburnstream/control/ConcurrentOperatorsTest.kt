package org.auburnstream.control

import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against accepted changes that are lost, reverted or applied twice. Two operators change the same version,
 * answers are lost, operations are retried, and the replica is restored from snapshots.
 */
class ConcurrentOperatorsTest {
    @Test
    fun `no accepted change is lost, reverted or applied twice in 1000 random schedules`() {
        for (seed in 0 until 1_000) RandomSchedule(seed).run()
    }

    @Test
    fun `the table stays bounded and an operation is never admitted twice within or after the window`() {
        val policy = OperationPolicy(window = 1.hours, minimumCount = 10, maximumCount = 50)
        val table = OperationTable(policy)
        val first = OperationIds.create(START, Random(0))
        assertIs<Admission.First>(table.admit(first, CONTENT, START))
        table.record(first, CONTENT, START, byteArrayOf(1))
        repeat(400) {
            val at = START + 5.minutes * (it + 1)
            val id = OperationIds.create(at, Random(it))
            if (table.admit(id, CONTENT, at) is Admission.First) table.record(id, CONTENT, at, byteArrayOf(2))
            when (val admission = table.admit(first, CONTENT, at)) {
                is Admission.Repeated -> assertEquals(1, admission.answer.single())
                is Admission.Refused ->
                    assertTrue(admission.problem is OperationProblem.Expired && at - START >= 1.hours)
                is Admission.First -> error("operation ran twice at $at")
            }
            assertTrue(table.size <= 50)
        }
    }

    @Test
    fun `a full table refuses new operations and evicts none within the window`() {
        val table = OperationTable(OperationPolicy(minimumCount = 1, maximumCount = 3))
        val ids = List(4) { OperationIds.create(START, Random(it)) }
        for (id in ids.take(3)) {
            assertIs<Admission.First>(table.admit(id, CONTENT, START))
            table.record(id, CONTENT, START, CONTENT)
        }
        assertIs<OperationProblem.TableFull>(assertIs<Admission.Refused>(table.admit(ids[3], CONTENT, START)).problem)
        ids.take(3).forEach { assertIs<Admission.Repeated>(table.admit(it, CONTENT, START)) }
    }

    @Test
    fun `one command with a wrong clock cannot evict operations`() {
        val table = OperationTable()
        val id = OperationIds.create(START, Random(0))
        table.admit(id, CONTENT, START)
        table.record(id, CONTENT, START, CONTENT)
        table.admit(OperationId("x"), CONTENT, START + 10_000.hours)
        assertIs<Admission.First>(table.admit(OperationIds.create(START, Random(1)), CONTENT, START))
        assertIs<Admission.Repeated>(table.admit(id, CONTENT, START))
    }

    private class RandomSchedule(private val seed: Int) {
        private val random = Random(seed)
        private var replica = Replica()
        private var at = START
        private val unanswered = ArrayList<ChangeAttempt>()
        private val answers = HashMap<OperationId, ControlResult>()

        /** Accepted changes in the order of their versions; the state must always match them. */
        private val accepted = ArrayList<ChangeAttempt>()

        fun run() {
            repeat(60) { step() }
            unanswered.toList().forEach(::send)
            check()
        }

        private fun step() {
            at += random.nextInt(1, 40).seconds
            when (random.nextInt(6)) {
                0 -> replica = replica.restoredFromSnapshot()
                1, 2 -> unanswered.randomOrNull(random)?.let(::send)
                else -> submitConcurrentChanges()
            }
            check()
        }

        /** Submits changes of two operators to the same version; each answer may be lost. */
        private fun submitConcurrentChanges() {
            val expected = replica.state.version
            repeat(2) { operator ->
                val id = OperationIds.create(at, random)
                val value = random.nextLong(1, 60)
                send(ChangeAttempt(id, OperatorId("operator-$operator"), expected, value))
            }
        }

        private fun send(attempt: ChangeAttempt) {
            val before = replica.state.version
            val result = replica.apply(attempt, at)
            val first = answers[attempt.id]
            if (first != null) {
                assertEquals(first, result, "seed $seed: a retry returned another answer")
                assertEquals(before, replica.state.version, "seed $seed: a retry changed the state")
            } else {
                answers[attempt.id] = result
                if (result is ControlResult.Changed) accepted += attempt else checkConflict(result, attempt)
            }
            if (random.nextInt(3) == 0) unanswered += attempt else unanswered -= attempt
        }

        private fun checkConflict(result: ControlResult, attempt: ChangeAttempt) {
            val conflict = assertIs<ControlResult.Conflict>(result, "seed $seed")
            val winner = accepted[attempt.expected.value.toInt()]
            assertEquals(
                winner.id to winner.operator,
                conflict.winner?.let {
                    it.operation to it.operator
                },
                "seed $seed",
            )
        }

        private fun check() {
            assertEquals(
                accepted.size.toLong(),
                replica.state.version.value,
                "seed $seed: changes lost or applied twice",
            )
            val value = accepted.lastOrNull()?.value ?: return
            assertEquals(
                value,
                replica.state.tree.at(SettingsPath.Root)[SettingKeys.TargetSlots],
                "seed $seed: an accepted change was reverted",
            )
            val recorded = replica.state.history.newest(accepted.size).map { it.operation }.reversed()
            assertEquals(accepted.map { it.id }, recorded, "seed $seed: the history differs from the accepted changes")
        }
    }

    private class ChangeAttempt(
        val id: OperationId,
        val operator: OperatorId,
        val expected: SettingsVersion,
        val value: Long,
    ) {
        val content: ByteArray get() = "$operator $expected $value".encodeToByteArray()
        val command: ControlCommand
            get() = ControlCommand.ChangeSettings(
                expected,
                listOf(set(SettingsPath.Root, SettingKeys.TargetSlots, value)),
            )
    }

    private class Replica(
        var state: ControlState = ControlState(),
        private val table: OperationTable = OperationTable(),
    ) {
        /** Results in the order of execution; the table stores the position in this list as the answer. */
        private var results = ArrayList<ControlResult>()

        fun apply(attempt: ChangeAttempt, at: Instant): ControlResult =
            when (val admission = table.admit(attempt.id, attempt.content, at)) {
                is Admission.Repeated -> results[admission.answer.decodeToString().toInt()]
                is Admission.Refused -> error("refused: ${admission.problem}")
                is Admission.First -> {
                    val transition = state.apply(attempt.command, CommandContext(attempt.id, attempt.operator, at))
                    state = transition.state
                    results += transition.result
                    val answer = "${results.lastIndex}".encodeToByteArray()
                    table.record(attempt.id, attempt.content, admission.created, answer)
                    transition.result
                }
            }

        fun restoredFromSnapshot(): Replica {
            val restored = OperationTable().also { it.restore(table.snapshot()) }
            return Replica(ControlState.of(state.snapshot()), restored).also { it.results = results }
        }
    }

    private companion object {
        val START = Instant.fromEpochSeconds(1_800_000_000)
        val CONTENT = byteArrayOf(7)
    }
}
