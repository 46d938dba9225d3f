package org.auburnstream.daemon

import org.auburnstream.daemon.caller.Hop
import org.auburnstream.daemon.caller.HopSpan
import org.auburnstream.daemon.caller.HopTracer
import org.auburnstream.daemon.observability.RequestSpan
import org.auburnstream.daemon.observability.RequestTracing
import org.auburnstream.model.RequestId
import org.auburnstream.daemon.observability.Hop as TracedHop

/** Records the hops of the request path as spans of [tracing]. */
internal class TracingHops(private val tracing: RequestTracing) : HopTracer {
    override fun start(hop: Hop, request: RequestId, parent: String?): HopSpan =
        TracedSpan(tracing.start(request, parent, hop.traced()))

    private fun Hop.traced(): TracedHop = when (this) {
        Hop.CALLER -> TracedHop.CALLER_EDGE
        Hop.QUEUE -> TracedHop.QUEUE
        Hop.TARGET -> TracedHop.TARGET
    }

    private class TracedSpan(private val span: RequestSpan) : HopSpan {
        private var ended = false

        override val traceparent: String? = span.traceparent

        override fun end() {
            if (ended) return
            ended = true
            span.end()
        }
    }
}
