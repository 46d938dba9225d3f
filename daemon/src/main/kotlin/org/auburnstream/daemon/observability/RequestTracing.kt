package org.auburnstream.daemon.observability

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.sdk.trace.IdGenerator
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import org.auburnstream.daemon.config.TraceExport
import org.auburnstream.model.RequestId
import java.util.concurrent.TimeUnit

/** Hop of a request through the daemon, each with a span of its own. */
public enum class Hop(internal val spanName: String, internal val kind: SpanKind) {
    /** From the caller's request to the end of its answer. */
    CALLER_EDGE("caller_edge", SpanKind.SERVER),

    /** Wait for a slot of a target. */
    QUEUE("queue", SpanKind.INTERNAL),

    /** From the choice of the target to the end of its answer, with the opening of a connection. */
    FORWARD("forward", SpanKind.INTERNAL),

    /** Exchange with the target. */
    TARGET("target", SpanKind.CLIENT),
}

/**
 * Records a span for each hop of a request and passes the W3C trace context on to the target.
 *
 * Without an export nothing is recorded and the caller's context is passed on unchanged.
 */
public class RequestTracing private constructor(private val provider: SdkTracerProvider?) : AutoCloseable {
    private val tracer: Tracer? = provider?.get(TRACER_NAME)

    /** Creates the tracing for [export]; [idGenerator] draws the ids of traces and spans. */
    public constructor(export: TraceExport, idGenerator: IdGenerator = IdGenerator.random()) :
        this(batchProcessor(export)?.let { providerOf(it, idGenerator) })

    internal constructor(processor: SpanProcessor, idGenerator: IdGenerator) : this(providerOf(processor, idGenerator))

    /**
     * Starts the span of [hop], which is not inside another span of this process.
     *
     * @param traceparent header of the hop before it, such as the caller's of this name; one that is malformed is ignored.
     */
    public fun start(requestId: RequestId, traceparent: String?, hop: Hop = Hop.CALLER_EDGE): RequestSpan {
        val tracer = tracer ?: return PassedOnSpan(traceparent?.takeIf { isTraceparent(it) })
        val parent = traceparent?.let { extract(it) } ?: Context.root()
        return RecordedSpan.start(tracer, parent, hop)
            .also { it.span.setAttribute(REQUEST_ID_ATTRIBUTE, requestId.value) }
    }

    /** Exports what is recorded and stops. */
    override fun close() {
        provider?.shutdown()?.join(FLUSH_SECONDS, TimeUnit.SECONDS)
    }
}

/** Span of one hop of a request. */
public interface RequestSpan {
    /** Header value that a receiver gets as its parent, or null if there is none to pass on. */
    public val traceparent: String?

    /** Id of the trace as 32 hex digits, or null if there is none. */
    public val traceId: String?
        get() = traceparent?.split('-')?.get(1)

    /** Starts the span of [hop] inside this one. */
    public fun child(hop: Hop): RequestSpan

    /** Adds an attribute to the span. */
    public fun attribute(key: LogKey<*>, value: String)

    /** Ends the span; [failure] names the reason if the hop failed. */
    public fun end(failure: Enum<*>? = null)
}

private const val TRACER_NAME = "org.auburnstream.daemon"
private const val TRACEPARENT = "traceparent"
private const val REQUEST_ID_ATTRIBUTE = "request_id"
private const val FLUSH_SECONDS = 5L
private const val EXPORT_DELAY_MILLISECONDS = 500L
private const val MAX_QUEUED_SPANS = 4096

private val traceparentPattern = Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

private fun isTraceparent(text: String): Boolean = traceparentPattern.matches(text)

private fun extract(traceparent: String): Context =
    W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, HeaderGetter)

private fun inject(context: Context): String? {
    var header: String? = null
    W3CTraceContextPropagator.getInstance().inject(context, TRACEPARENT) { _, key, value ->
        if (key == TRACEPARENT) header = value
    }
    return header
}

private fun batchProcessor(export: TraceExport): SpanProcessor? = lineSpanExporter(export)?.let { exporter ->
    BatchSpanProcessor.builder(exporter)
        .setMaxQueueSize(MAX_QUEUED_SPANS)
        .setScheduleDelay(EXPORT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
        .build()
}

private fun providerOf(processor: SpanProcessor, idGenerator: IdGenerator): SdkTracerProvider =
    SdkTracerProvider.builder()
        .addSpanProcessor(processor)
        .setIdGenerator(idGenerator)
        .build()

/** Reads the one header of a caller's trace context; the carrier is its value. */
private object HeaderGetter : TextMapGetter<String> {
    override fun keys(carrier: String): Iterable<String> = listOf(TRACEPARENT)

    override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACEPARENT }
}

/** Records nothing and passes [traceparent] on. */
private class PassedOnSpan(override val traceparent: String?) : RequestSpan {
    override fun child(hop: Hop): RequestSpan = this

    override fun attribute(key: LogKey<*>, value: String) = Unit

    override fun end(failure: Enum<*>?) = Unit
}

private class RecordedSpan(private val tracer: Tracer, private val context: Context, val span: Span) : RequestSpan {
    override val traceparent: String?
        get() = inject(context)

    override val traceId: String
        get() = span.spanContext.traceId

    override fun child(hop: Hop): RequestSpan = start(tracer, context, hop)

    override fun attribute(key: LogKey<*>, value: String) {
        span.setAttribute(key.name, value)
    }

    override fun end(failure: Enum<*>?) {
        if (failure != null) span.setStatus(StatusCode.ERROR, failure.name.lowercase())
        span.end()
    }

    companion object {
        fun start(tracer: Tracer, parent: Context, hop: Hop): RecordedSpan {
            val span = tracer.spanBuilder(hop.spanName).setParent(parent).setSpanKind(hop.kind).startSpan()
            return RecordedSpan(tracer, parent.with(span), span)
        }
    }
}
