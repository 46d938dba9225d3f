package org.auburnstream.testkit.target

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts how often each request was run, by its idempotency key or, without one, its method and path. */
public class ExecutionCounts {
    private val counts = ConcurrentHashMap<String, AtomicInteger>()
    private val sum = AtomicInteger()

    /** Number of requests that were run. */
    public val total: Int
        get() = sum.get()

    /** How often the request with [key] was run. */
    public operator fun get(key: String): Int = counts[key]?.get() ?: 0

    /** Keys that were run more than once. */
    public fun repeated(): Set<String> = counts.filterValues { it.get() > 1 }.keys

    internal fun count(key: String) {
        sum.incrementAndGet()
        counts.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
    }
}
