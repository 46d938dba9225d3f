package org.auburnstream.control

import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion
import kotlin.time.Instant

/**
 * Record of one accepted settings change.
 *
 * @property version settings version that the change created.
 * @property at time of the proposal, by the wall clock of the proposing daemon.
 * @property undo edits at the same nodes that revert the change.
 */
@Serializable
public data class ChangeRecord(
    val version: SettingsVersion,
    val operation: OperationId,
    val operator: OperatorId,
    val at: Instant,
    val reason: String,
    val edits: List<SettingEdit>,
    val undo: List<SettingEdit>,
)

/**
 * Bounded history of the most recent accepted settings changes.
 *
 * Keeps at most [MAX_CHANGES] changes with at most [MAX_EDITS] edits in total and drops the oldest ones first. The
 * newest change is always kept. Immutable: appending a change copies one small chunk.
 */
public class ChangeHistory private constructor(
    private val chunks: List<List<ChangeRecord>>,
    private val editCount: Int,
) {
    /** Number of retained changes. */
    public val size: Int get() = chunks.sumOf { it.size }

    /** Version of the oldest retained change, or null if the history is empty. */
    public val oldestVersion: SettingsVersion? get() = chunks.firstOrNull()?.first()?.version

    /** Returns the change that created [version], or null if it is no longer retained. */
    public fun find(version: SettingsVersion): ChangeRecord? {
        val chunk = chunks.lastOrNull { it.first().version <= version } ?: return null
        return chunk.firstOrNull { it.version == version }
    }

    /**
     * Returns up to [limit] changes with an edit in [subtree], newest first.
     *
     * If [before] is not null, only changes with an earlier version are returned.
     */
    public fun newest(
        limit: Int,
        before: SettingsVersion? = null,
        subtree: SettingsPath = SettingsPath.Root,
    ): List<ChangeRecord> = chunks
        .asReversed()
        .asSequence()
        .flatMap { it.asReversed() }
        .filter { before == null || it.version < before }
        .filter { record -> record.edits.any { subtree.contains(it.path) } }
        .take(limit)
        .toList()

    internal fun append(record: ChangeRecord): ChangeHistory {
        val last = chunks.lastOrNull()
        val added =
            when {
                last == null || last.size >= CHUNK_SIZE -> chunks + listOf(listOf(record))
                else -> chunks.dropLast(1) + listOf(last + record)
            }
        return ChangeHistory(added, editCount + record.edits.size).trimmed()
    }

    internal fun toList(): List<ChangeRecord> = chunks.flatten()

    private fun trimmed(): ChangeHistory {
        var kept = chunks
        var edits = editCount
        var count = size
        while (count > 1 && (count > MAX_CHANGES || edits > MAX_EDITS)) {
            val first = kept.first()
            edits -= first.first().edits.size
            count--
            kept = if (first.size == 1) kept.drop(1) else listOf(first.drop(1)) + kept.drop(1)
        }
        return if (kept === chunks) this else ChangeHistory(kept, edits)
    }

    public companion object {
        /** Maximum number of retained changes. */
        public const val MAX_CHANGES: Int = 8_192

        /** Maximum total number of edits in the retained changes; the newest change is retained even above it. */
        public const val MAX_EDITS: Int = 32_768

        private const val CHUNK_SIZE = 128

        /** Empty history. */
        public val Empty: ChangeHistory = ChangeHistory(emptyList(), 0)

        internal fun of(records: List<ChangeRecord>): ChangeHistory =
            ChangeHistory(records.chunked(CHUNK_SIZE), records.sumOf { it.edits.size })
    }
}
