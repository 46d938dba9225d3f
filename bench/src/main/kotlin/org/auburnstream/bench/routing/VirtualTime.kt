package org.auburnstream.bench.routing

import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs scheduled actions in the order of their virtual times. */
internal class VirtualTime {
    private val actions = PriorityQueue<Scheduled>()
    private var count = 0L
    var now: MonotonicTime = MonotonicTime.Zero
        private set

    fun after(delay: Duration, action: () -> Unit) {
        actions += Scheduled(now + delay, count++, action)
    }

    fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            action()
            every(interval, action)
        }
    }

    fun runUntil(end: MonotonicTime) {
        while (true) {
            val next = actions.peek() ?: return
            if (next.at > end) return
            actions.remove()
            now = next.at
            next.action()
        }
    }

    private class Scheduled(val at: MonotonicTime, val order: Long, val action: () -> Unit) : Comparable<Scheduled> {
        override fun compareTo(other: Scheduled): Int = compareValuesBy(this, other, { it.at }, { it.order })
    }
}
