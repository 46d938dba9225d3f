package org.auburnstream.control

import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import java.security.MessageDigest
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits of an [OperationTable].
 *
 * @property window time after the creation of an operation id during which a retry is guaranteed the recorded answer.
 * @property minimumCount number of newest operations that are kept even after [window].
 * @property maximumCount number of operations at which new ones are refused until older ones leave the window.
 * @property maximumBytes total size of answers at which new operations are refused until older ones leave the window.
 * @property futureTolerance maximum time by which the creation time of an id may be ahead of the proposer's clock.
 * @property maximumClockStep maximum time by which one command advances the clock of the table, so that one daemon
 * with a wrong clock cannot evict all operations.
 */
public data class OperationPolicy(
    val window: Duration = 24.hours,
    val minimumCount: Int = 256,
    val maximumCount: Int = 65_536,
    val maximumBytes: Long = DEFAULT_MAXIMUM_BYTES,
    val futureTolerance: Duration = 10.minutes,
    val maximumClockStep: Duration = 10.minutes,
) {
    init {
        require(minimumCount <= maximumCount) { "minimumCount $minimumCount must be at most $maximumCount" }
    }

    private companion object {
        const val DEFAULT_MAXIMUM_BYTES = 16_777_216L
    }
}

/**
 * Replicated deduplication table: a retried operation gets its recorded answer instead of being executed again.
 *
 * An operation is kept at least until the clock of the table has passed the creation time in its id by
 * [OperationPolicy.window]. An older id that is not in the table is refused, so no operation is executed twice. The
 * clock follows the proposal times of applied commands, by at most [OperationPolicy.maximumClockStep] for each
 * command, and never moves backwards. Answers are opaque bytes, so commands of any kind can share the table.
 *
 * Not safe for concurrent use; only the coroutine that applies the log may use it.
 */
public class OperationTable(private val policy: OperationPolicy = OperationPolicy()) {
    private val records = HashMap<OperationId, OperationRecord>()
    private val byCreation = TreeMap<CreationOrder, OperationRecord>()
    private var clock: Instant? = null
    private var bytes: Long = 0

    /** Number of recorded operations. */
    public val size: Int get() = records.size

    /** Total size of the recorded answers in bytes. */
    public val answerBytes: Long get() = bytes

    /**
     * Decides whether to execute [operation], which was proposed [at] with [content].
     *
     * [content] must not contain the time of the proposal, because it must be the same for a retry.
     */
    public fun admit(operation: OperationId, content: ByteArray, at: Instant): Admission {
        advanceClock(at)
        records[operation]?.let { record ->
            val same = record.digest.contentEquals(digest(content))
            return if (same) Admission.Repeated(record.answer) else Admission.Refused(OperationProblem.ContentDiffers)
        }
        val created = OperationIds.createdAt(operation) ?: return Admission.Refused(OperationProblem.MalformedId)
        val oldest = oldestAcceptedCreation()
        if (created < oldest) return Admission.Refused(OperationProblem.Expired(created, oldest))
        if (created >
            at + policy.futureTolerance
        ) {
            return Admission.Refused(OperationProblem.CreatedInFuture(created, at))
        }
        if (records.size >= policy.maximumCount || bytes >= policy.maximumBytes) {
            return Admission.Refused(OperationProblem.TableFull(TABLE_FULL_RETRY_AFTER))
        }
        return Admission.First(created)
    }

    /** Records the [answer] to [operation], for which [admit] has just returned [Admission.First]. */
    public fun record(operation: OperationId, content: ByteArray, created: Instant, answer: ByteArray) {
        check(operation !in records) { "Operation $operation is already recorded" }
        insert(OperationRecord(operation, created, digest(content), answer))
    }

    /** Returns the complete table in serializable form, ordered by creation time. */
    public fun snapshot(): OperationSnapshot = OperationSnapshot(clock, byCreation.values.toList())

    /** Replaces the content of the table with [snapshot]. */
    public fun restore(snapshot: OperationSnapshot) {
        records.clear()
        byCreation.clear()
        bytes = 0
        clock = snapshot.clock
        snapshot.records.forEach(::insert)
    }

    private fun advanceClock(at: Instant) {
        val previous = clock
        clock = if (previous == null) at else maxOf(previous, minOf(at, previous + policy.maximumClockStep))
        val oldest = oldestAcceptedCreation()
        while (records.size > policy.minimumCount && byCreation.firstKey().created < oldest) {
            val record = byCreation.pollFirstEntry().value
            records.remove(record.operation)
            bytes -= record.answer.size
        }
    }

    private fun oldestAcceptedCreation(): Instant = (clock ?: Instant.DISTANT_PAST) - policy.window

    private fun insert(record: OperationRecord) {
        records[record.operation] = record
        byCreation[CreationOrder(record.created, record.operation.value)] = record
        bytes += record.answer.size
    }

    private fun digest(content: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(content)

    private data class CreationOrder(val created: Instant, val operation: String) : Comparable<CreationOrder> {
        override fun compareTo(other: CreationOrder): Int =
            compareValuesBy(this, other, { it.created }, { it.operation })
    }

    private companion object {
        val TABLE_FULL_RETRY_AFTER: Duration = 60.seconds
    }
}

/** Decision of an [OperationTable] about an operation. */
public sealed interface Admission {
    /** The operation is new; the caller must execute it and then record its answer. */
    public data class First(val created: Instant) : Admission

    /** The operation was already executed; [answer] is the recorded answer. */
    public class Repeated(public val answer: ByteArray) : Admission

    /** The operation must not be executed. */
    public data class Refused(val problem: OperationProblem) : Admission
}

/** Reason for refusing an operation before it is executed. */
@Serializable
public sealed interface OperationProblem {
    /** The id does not have the form described in [OperationIds]. */
    @Serializable
    public data object MalformedId : OperationProblem

    /** The id was created at [created], before [oldest], so its operation may have been executed and evicted. */
    @Serializable
    public data class Expired(val created: Instant, val oldest: Instant) : OperationProblem

    /** The creation time [created] of the id is too far after [now], the time of the proposing daemon. */
    @Serializable
    public data class CreatedInFuture(val created: Instant, val now: Instant) : OperationProblem

    /** The id was already used with different content or by another operator. */
    @Serializable
    public data object ContentDiffers : OperationProblem

    /** The table has reached its limit of operations or answer bytes; the caller may retry after [retryAfter]. */
    @Serializable
    public data class TableFull(val retryAfter: Duration) : OperationProblem
}

/** Recorded operation with its answer and the digest of its content. */
@Serializable
public class OperationRecord(
    public val operation: OperationId,
    public val created: Instant,
    internal val digest: ByteArray,
    public val answer: ByteArray,
)

/** Serializable form of a complete [OperationTable]. */
@Serializable
public class OperationSnapshot(public val clock: Instant?, public val records: List<OperationRecord>)
