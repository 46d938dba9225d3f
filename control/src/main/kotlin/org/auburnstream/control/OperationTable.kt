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
 * @property window time since its creation during which an operation id is sure to get its first answer again.
 * @property minimumCount newest operations kept beyond [window].
 * @property maximumCount most operations kept; a further one is refused until older ones leave the window.
 * @property maximumBytes most bytes of answers kept; a further operation is refused until older ones leave the window.
 * @property futureTolerance how far ahead of the proposing daemon's clock an id may have been created.
 * @property maximumClockStep most that one command moves the table's clock ahead, so that one daemon with a wrong
 * clock cannot make the table forget.
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
 * Replicated memory of operations that gives a resent one its first answer again instead of running it twice.
 *
 * An operation is remembered as long as its id would still be run: until the table's clock has passed the creation
 * time in the id by [OperationPolicy.window]. An older id that is not remembered is refused, so none runs twice. The
 * clock is the latest time stamped into an applied command and never goes back. Answers are opaque bytes, so that
 * commands of any kind can share the table.
 *
 * Not safe for concurrent use; it belongs to the coroutine that applies the log.
 */
public class OperationTable(private val policy: OperationPolicy = OperationPolicy()) {
    private val records = HashMap<OperationId, OperationRecord>()
    private val byCreation = TreeMap<CreationOrder, OperationRecord>()
    private var clock: Instant? = null
    private var bytes: Long = 0

    /** Number of operations remembered. */
    public val size: Int get() = records.size

    /** Bytes of the answers remembered. */
    public val answerBytes: Long get() = bytes

    /**
     * Returns what to do with [operation], proposed [at] with [content], which must not contain the time of the
     * proposal.
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

    /** Remembers the [answer] to [operation], which [admit] has just called the first. */
    public fun record(operation: OperationId, content: ByteArray, created: Instant, answer: ByteArray) {
        check(operation !in records) { "Operation $operation is already recorded" }
        insert(OperationRecord(operation, created, digest(content), answer))
    }

    /** Returns the whole table in a form that can be encoded, ordered by creation. */
    public fun snapshot(): OperationSnapshot = OperationSnapshot(clock, byCreation.values.toList())

    /** Replaces the table by [snapshot]. */
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

/** What to do with an operation. */
public sealed interface Admission {
    /** The operation is new: run it, then record its answer. */
    public data class First(val created: Instant) : Admission

    /** The operation was run before; [answer] is its first answer. */
    public class Repeated(public val answer: ByteArray) : Admission

    /** The operation must not be run. */
    public data class Refused(val problem: OperationProblem) : Admission
}

/** Why an operation is refused before it is run. */
@Serializable
public sealed interface OperationProblem {
    /** The id is not of the form that [OperationIds] describes. */
    @Serializable
    public data object MalformedId : OperationProblem

    /** The id was created at [created], before [oldest], so it may have been run and forgotten. */
    @Serializable
    public data class Expired(val created: Instant, val oldest: Instant) : OperationProblem

    /** The id claims to be created at [created], well after the daemon's time [now]. */
    @Serializable
    public data class CreatedInFuture(val created: Instant, val now: Instant) : OperationProblem

    /** The id was used before with other content or by another operator. */
    @Serializable
    public data object ContentDiffers : OperationProblem

    /** The table holds as many operations as it may; try again after [retryAfter]. */
    @Serializable
    public data class TableFull(val retryAfter: Duration) : OperationProblem
}

/** One remembered operation. */
@Serializable
public class OperationRecord(
    public val operation: OperationId,
    public val created: Instant,
    internal val digest: ByteArray,
    public val answer: ByteArray,
)

/** The whole table in a form that can be encoded. */
@Serializable
public class OperationSnapshot(public val clock: Instant?, public val records: List<OperationRecord>)
