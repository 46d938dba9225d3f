package org.auburnstream.consensus

import org.auburnstream.model.MonotonicTime

/**
 * Operations as clients saw them, checked for linearizability.
 *
 * The index of the log is the witness of the order: each operation must have taken effect between its call and its
 * answer, so an operation that ended before another began must not have the later index.
 */
internal class History {
    private val operations = ArrayList<Operation>()

    fun writeEnded(began: MonotonicTime, ended: MonotonicTime, index: Long) {
        operations.add(Operation(began, ended, index, isWrite = true))
    }

    fun readEnded(began: MonotonicTime, ended: MonotonicTime, index: Long) {
        operations.add(Operation(began, ended, index, isWrite = false))
    }

    fun check() {
        val byEnd = operations.sortedBy { it.ended }
        val byBegin = operations.sortedBy { it.began }
        var newest = 0L
        var ended = 0
        for (operation in byBegin) {
            while (ended < byEnd.size &&
                byEnd[ended].ended < operation.began
            ) {
                newest = maxOf(newest, byEnd[ended++].index)
            }
            val least = if (operation.isWrite) newest + 1 else newest
            check(operation.index >= least) { "operation at ${operation.index} began after $newest had ended" }
        }
    }

    private class Operation(val began: MonotonicTime, val ended: MonotonicTime, val index: Long, val isWrite: Boolean)
}
