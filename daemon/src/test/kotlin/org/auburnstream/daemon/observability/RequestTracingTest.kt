package org.auburnstream.daemon.observability

import io.opentelemetry.sdk.trace.IdGenerator
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.auburnstream.daemon.caller.Hop
import org.auburnstream.daemon.caller.HopSpan
import org.auburnstream.daemon.config.TraceExport
import org.auburnstream.model.RequestId
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against spans that are not linked to the caller's trace or not exported. */
class RequestTracingTest {
    private val spans = mutableListOf<SpanData>()
    private val tracing =
        RequestTracing(SimpleSpanProcessor.create(LineSpanExporter({ spans += it })), SeededIdGenerator())
    private val request = RequestId("r-1")
    private val traceId = "0af7651916cd43dd8448eb211c80319c"
    private val header = "00-$traceId-b7ad6b7169203331-01"

    @Test
    fun spansOfHopsAreLinkedToTheirParent() {
        val callerSpan = tracing.start(Hop.CALLER, request, header)
        val queue = tracing.start(Hop.QUEUE, request, callerSpan.traceparent).also { it.end() }
        val target = tracing.start(Hop.TARGET, request, callerSpan.traceparent).also { it.end() }
        callerSpan.end()

        assertEquals(listOf("queue", "target", "caller"), spans.map { it.name })
        assertEquals(setOf(traceId), spans.map { it.traceId }.toSet())
        assertEquals(listOf(spanId(callerSpan), spanId(callerSpan), "b7ad6b7169203331"), spans.map { it.parentSpanId })
        assertEquals(listOf(spanId(queue), spanId(target), spanId(callerSpan)), spans.map { it.spanId })
    }

    @Test
    fun malformedTraceContextStartsNewTrace() {
        listOf(null, "", "garbage", "00-$traceId", "00-${"0".repeat(32)}-b7ad6b7169203331-01").forEach { text ->
            tracing.start(Hop.CALLER, request, text).end()

            assertEquals("0000000000000000", spans.removeLast().parentSpanId, "for '$text'")
        }
    }

    @Test
    fun withoutExportNothingIsRecorded() {
        assertEquals(HopSpan.None, RequestTracing(TraceExport.Off).start(Hop.CALLER, request, header))
    }

    @Test
    fun spansAreWrittenToTheFile(@TempDir folder: Path) {
        val file = folder.resolve("spans")
        RequestTracing(TraceExport.ToFile(file), SeededIdGenerator()).use {
            it.start(Hop.CALLER, request, header).end()
        }

        val line = Files.readAllLines(file).single()
        assertContains(line, "span=caller trace_id=$traceId")
        assertContains(line, "parent_span_id=b7ad6b7169203331")
        assertContains(line, "request_id=r-1")
    }

    private fun spanId(span: HopSpan): String = span.traceparent!!.split('-')[2]

    private class SeededIdGenerator(private val random: Random = Random(1)) : IdGenerator {
        override fun generateSpanId(): String = hex(16)

        override fun generateTraceId(): String = hex(32)

        private fun hex(digits: Int): String = (1..digits).map {
            "0123456789abcdef"[random.nextInt(16)]
        }.joinToString("")
    }
}
