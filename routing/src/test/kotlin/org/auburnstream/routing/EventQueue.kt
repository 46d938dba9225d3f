package org.auburnstream.routing

import org.auburnstream.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs scheduled actions in virtual time, ordered by time and, at equal times, by the order of scheduling. */
class EventQueue {
    private val events = PriorityQueue<Event>()
    private var scheduled = 0L
    var now: MonotonicTime = MonotonicTime(1_000_000_000)
        private set

    fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, scheduled++, action)
    }

    fun runUntil(end: MonotonicTime) {
        while (events.isNotEmpty() && events.peek().time <= end) {
            val event = events.poll()
            now = event.time
            event.action()
        }
        now = end
    }

    private class Event(val time: MonotonicTime, val order: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, { it.time }, { it.order })
    }
}
