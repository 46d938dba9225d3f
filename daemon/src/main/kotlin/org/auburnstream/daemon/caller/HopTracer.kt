package org.auburnstream.daemon.caller

import org.auburnstream.model.RequestId

/** Part of a request's way through a daemon. */
public enum class Hop {
    /** From the arrival to the end of the answer. */
    CALLER,

    /** From the arrival until the request starts. */
    QUEUE,

    /** Exchange with a target. */
    TARGET,
}

/** Starts the span of a hop. */
public fun interface HopTracer {
    /**
     * Starts the span of [hop].
     *
     * @param parent W3C `traceparent` of the hop before it, or null to start a trace.
     */
    public fun start(hop: Hop, request: RequestId, parent: String?): HopSpan

    public companion object {
        /** Traces nothing and passes the caller's context on. */
        public val None: HopTracer = HopTracer { _, _, _ -> HopSpan.None }
    }
}

/** Span of a hop in progress. */
public interface HopSpan {
    /** W3C `traceparent` for the next hop, or null to pass on the caller's. */
    public val traceparent: String?

    /** Ends the span; further calls have no effect. */
    public fun end()

    /** A span that is not recorded. */
    public object None : HopSpan {
        override val traceparent: String? get() = null

        override fun end(): Unit = Unit
    }
}
