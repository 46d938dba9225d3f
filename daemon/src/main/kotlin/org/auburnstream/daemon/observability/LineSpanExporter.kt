package org.auburnstream.daemon.observability

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.auburnstream.daemon.config.TraceExport
import java.io.IOException
import java.io.Writer
import java.nio.file.Files
import java.nio.file.StandardOpenOption

/** Returns the span exporter for [export], or null if tracing is off. */
internal fun createSpanExporter(export: TraceExport): SpanExporter? = when (export) {
    is TraceExport.Off -> null
    is TraceExport.Log -> LineSpanExporter(writeSpan = ::logSpan)
    is TraceExport.ToFile -> fileExporter(export)
}

/**
 * Span exporter that writes one line for each span.
 *
 * It calls [writeSpan] for each span of a batch, then [flush] once.
 */
internal class LineSpanExporter(
    private val writeSpan: (SpanData) -> Unit,
    private val flush: () -> Unit = {},
    private val close: () -> Unit = {},
) : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode = resultOf {
        spans.forEach(writeSpan)
        flush.invoke()
    }

    override fun flush(): CompletableResultCode = resultOf { flush.invoke() }

    override fun shutdown(): CompletableResultCode = resultOf { close.invoke() }

    private inline fun resultOf(block: () -> Unit): CompletableResultCode = try {
        block()
        CompletableResultCode.ofSuccess()
    } catch (_: IOException) {
        CompletableResultCode.ofFailure()
    }
}

private const val NANOSECONDS_PER_MICROSECOND = 1000

private val traceLog = EventLog.of("trace")
private val spanKey = LogKey<String>("span")
private val spanIdKey = LogKey<String>("span_id")
private val parentKey = LogKey<String>("parent_span_id")
private val durationKey = LogKey<Long>("duration_us")

private fun logSpan(data: SpanData) {
    traceLog.info("span", *spanFields(data).toTypedArray())
}

private fun fileExporter(export: TraceExport.ToFile): SpanExporter {
    val writer = Files.newBufferedWriter(export.path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    return LineSpanExporter(
        writeSpan = { writer.writeSpan(it) },
        flush = writer::flush,
        close = writer::close,
    )
}

private fun Writer.writeSpan(data: SpanData) {
    val line = spanFields(data).joinToString(" ") { "${it.key}=${it.value}" }
    write("start_us=${data.startEpochNanos / NANOSECONDS_PER_MICROSECOND} $line\n")
}

private fun spanFields(data: SpanData): List<LogField> = buildList {
    add(spanKey of data.name)
    add(LogKeys.TraceId of data.traceId)
    add(spanIdKey of data.spanId)
    if (data.parentSpanContext.isValid) add(parentKey of data.parentSpanId)
    add(durationKey of (data.endEpochNanos - data.startEpochNanos) / NANOSECONDS_PER_MICROSECOND)
    data.attributes.forEach { key, value -> add(LogField(key.key, value)) }
    data.status.description.takeIf { it.isNotEmpty() }?.let { add(LogField("failure", it)) }
}
