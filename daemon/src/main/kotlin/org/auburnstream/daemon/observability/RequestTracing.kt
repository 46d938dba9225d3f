package org.auburnstream.daemon.observability

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.sdk.trace.IdGenerator
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import org.auburnstream.daemon.caller.Hop
import org.auburnstream.daemon.caller.HopSpan
import org.auburnstream.daemon.caller.HopTracer
import org.auburnstream.daemon.config.TraceExport
import org.auburnstream.model.RequestId
import java.util.concurrent.TimeUnit

/**
 * Records a span for each hop of a request as part of the caller's W3C trace context.
 *
 * If the export is off, no span is recorded and the caller's context is forwarded unchanged.
 */
public class RequestTracing private constructor(private val provider: SdkTracerProvider?) :
    HopTracer,
    AutoCloseable {
    private val tracer: Tracer? = provider?.get(TRACER_NAME)

    /** Creates tracing that exports to [export]; [idGenerator] generates the ids of traces and spans. */
    public constructor(export: TraceExport, idGenerator: IdGenerator = IdGenerator.random()) :
        this(batchProcessor(export)?.let { tracerProvider(it, idGenerator) })

    internal constructor(processor: SpanProcessor, idGenerator: IdGenerator) :
        this(tracerProvider(processor, idGenerator))

    /** Starts the span of [hop]; a malformed [parent] is ignored and a new trace starts. */
    override fun start(hop: Hop, request: RequestId, parent: String?): HopSpan {
        val tracer = tracer ?: return HopSpan.None
        val context = parent?.let { extract(it) } ?: Context.root()
        val span = tracer.spanBuilder(hop.name.lowercase())
            .setParent(context)
            .setSpanKind(hop.spanKind())
            .setAttribute(LogKeys.RequestId.name, request.value)
            .startSpan()
        return RecordedSpan(context.with(span), span)
    }

    /** Exports the remaining spans and stops recording. */
    override fun close() {
        provider?.shutdown()?.join(FLUSH_SECONDS, TimeUnit.SECONDS)
    }
}

private const val TRACER_NAME = "org.auburnstream.daemon"
private const val TRACEPARENT = "traceparent"
private const val FLUSH_SECONDS = 5L
private const val EXPORT_DELAY_MILLISECONDS = 500L
private const val MAX_QUEUED_SPANS = 4096

private fun Hop.spanKind(): SpanKind = when (this) {
    Hop.CALLER -> SpanKind.SERVER
    Hop.TARGET -> SpanKind.CLIENT
    else -> SpanKind.INTERNAL
}

private fun extract(traceparent: String): Context =
    W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, TraceparentGetter)

private fun inject(context: Context): String? {
    var header: String? = null
    W3CTraceContextPropagator.getInstance().inject(context, TRACEPARENT) { _, key, value ->
        if (key == TRACEPARENT) header = value
    }
    return header
}

private fun batchProcessor(export: TraceExport): SpanProcessor? = createSpanExporter(export)?.let { exporter ->
    BatchSpanProcessor.builder(exporter)
        .setMaxQueueSize(MAX_QUEUED_SPANS)
        .setScheduleDelay(EXPORT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        .build()
}

private fun tracerProvider(processor: SpanProcessor, idGenerator: IdGenerator): SdkTracerProvider =
    SdkTracerProvider.builder()
        .addSpanProcessor(processor)
        .setIdGenerator(idGenerator)
        .build()

/** Reads the `traceparent` header of a caller; the carrier is the value of the header. */
private object TraceparentGetter : TextMapGetter<String> {
    override fun keys(carrier: String): Iterable<String> = listOf(TRACEPARENT)

    override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACEPARENT }
}

private class RecordedSpan(private val context: Context, private val span: Span) : HopSpan {
    override val traceparent: String?
        get() = inject(context)

    override fun end() {
        span.end()
    }
}
