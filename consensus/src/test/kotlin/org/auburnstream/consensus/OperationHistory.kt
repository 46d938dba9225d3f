package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/**
 * Records client operations and checks that they are linearizable.
 *
 * Operations are ordered by their log index. Each must take effect between its call and its response, so an operation
 * that ended before another one started must not have a higher index; a write that started later needs a higher one.
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
