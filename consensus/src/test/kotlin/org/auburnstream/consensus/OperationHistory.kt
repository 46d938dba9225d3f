package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/**
 * Operations as clients saw them, checked for linearizability.
 *
 * The index of the log is the witness of the order: each operation must have taken effect between its call and its
 * answer, so an operation that ended before another startedAt must not have the later index.
 */
internal class OperationHistory {
    private val operations = ArrayList<Operation>()

    fun recordWrite(startedAt: MonotonicTime, endedAt: MonotonicTime, index: Long) {
        operations.add(Operation(startedAt, endedAt, index, isWrite = true))
    }

    fun recordRead(startedAt: MonotonicTime, endedAt: MonotonicTime, index: Long) {
        operations.add(Operation(startedAt, endedAt, index, isWrite = false))
    }

    fun checkLinearizable() {
        val byEnd = operations.sortedBy { it.endedAt }
        val byStart = operations.sortedBy { it.startedAt }
        var latestEndedIndex = 0L
        var endedCount = 0
        for (operation in byStart) {
            while (endedCount < byEnd.size &&
                byEnd[endedCount].endedAt < operation.startedAt
            ) {
                latestEndedIndex = maxOf(latestEndedIndex, byEnd[endedCount++].index)
            }
            val minIndex = if (operation.isWrite) latestEndedIndex + 1 else latestEndedIndex
            check(operation.index >= minIndex) {
                "operation at ${operation.index} started after $latestEndedIndex had ended"
            }
        }
    }

    private class Operation(
        val startedAt: MonotonicTime,
        val endedAt: MonotonicTime,
        val index: Long,
        val isWrite: Boolean,
    )
}
