package org.auburnstream.control

import kotlinx.serialization.Serializable
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion
import kotlin.time.Instant

/**
 * One accepted change.
 *
 * @property version version that the change made.
 * @property at time at which it was proposed, by the proposing daemon's wall clock.
 * @property undo edits that would take it back, made at the same nodes.
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
 * The accepted changes of the near past.
 *
 * Keeps the newest [MAX_CHANGES] changes, and fewer if they hold more than [MAX_EDITS] edits together; the newest
 * one is always kept. Immutable: adding copies one small chunk.
 */
public class ChangeHistory private constructor(
    private val chunks: List<List<ChangeRecord>>,
    private val editCount: Int,
) {
    /** Number of changes kept. */
    public val size: Int get() = chunks.sumOf { it.size }

    /** Version of the oldest change kept, or null if there is none. */
    public val oldestVersion: SettingsVersion? get() = chunks.firstOrNull()?.first()?.version

    /** Returns the change that made [version], or null if it is no longer kept. */
    public fun find(version: SettingsVersion): ChangeRecord? {
        val chunk = chunks.lastOrNull { it.first().version <= version } ?: return null
        return chunk.firstOrNull { it.version == version }
    }

    /** Returns the newest changes before version [before], newest first, at most [limit], that touch [subtree]. */
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
        /** Most changes that are kept. */
        public const val MAX_CHANGES: Int = 8_192

        /** Most edits that the kept changes hold together. */
        public const val MAX_EDITS: Int = 32_768

        private const val CHUNK_SIZE = 128

        /** The history without a change. */
        public val Empty: ChangeHistory = ChangeHistory(emptyList(), 0)

        internal fun of(records: List<ChangeRecord>): ChangeHistory =
            ChangeHistory(records.chunked(CHUNK_SIZE), records.sumOf { it.edits.size })
    }
}
