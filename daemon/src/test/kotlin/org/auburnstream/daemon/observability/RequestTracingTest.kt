package org.auburnstream.daemon.observability

import io.opentelemetry.sdk.trace.IdGenerator
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.auburnstream.daemon.config.TraceExport
import org.auburnstream.model.RequestId
import org.auburnstream.model.UnknownReason
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RequestTracingTest {
    private val spans = mutableListOf<SpanData>()
    private val tracing = RequestTracing(SimpleSpanProcessor.create(LineSpanExporter({ spans += it })), SeededIds())
    private val request = RequestId("r-1")
    private val traceId = "0af7651916cd43dd8448eb211c80319c"
    private val header = "00-$traceId-b7ad6b7169203331-01"

    @Test
    fun eachHopIsASpanInsideTheLastOne() {
        val edge = tracing.start(request, header)
        val queue = edge.child(Hop.QUEUE).also { it.end() }
        val forward = edge.child(Hop.FORWARD)
        val target = forward.child(Hop.TARGET)
        target.end(UnknownReason.CONNECTION_LOST)
        forward.end()
        edge.end()

        assertEquals(listOf("queue", "target", "forward", "caller_edge"), spans.map { it.name })
        assertEquals(setOf(traceId), spans.map { it.traceId }.toSet())
        val parents = spans.associate { it.name to it.parentSpanId }
        assertEquals("b7ad6b7169203331", parents["caller_edge"])
        assertEquals(spanId(edge), parents["queue"])
        assertEquals(spanId(edge), parents["forward"])
        assertEquals(spanId(forward), parents["target"])
        assertEquals("connection_lost", spans[1].status.description)
        assertEquals("00-$traceId-${spans[0].spanId}-01", queue.traceparent)
    }

    @Test
    fun malformedContextStartsATraceOfItsOwn() {
        listOf("", "garbage", "00-$traceId", "00-${"0".repeat(32)}-b7ad6b7169203331-01").forEach { text ->
            tracing.start(request, text).end()

            assertEquals("0000000000000000", spans.removeLast().parentSpanId, "for '$text'")
        }
    }

    @Test
    fun withoutExportTheContextIsPassedOnUnchanged() {
        val off = RequestTracing(TraceExport.Off)

        assertEquals(header, off.start(request, header).child(Hop.TARGET).traceparent)
        assertEquals(traceId, off.start(request, header).traceId)
        assertNull(off.start(request, "garbage\r\nx: y").traceparent)
    }

    @Test
    fun spansAreWrittenToTheFile(@TempDir folder: Path) {
        val file = folder.resolve("spans")
        RequestTracing(TraceExport.ToFile(file), SeededIds()).use { it.start(request, header).end() }

        val line = Files.readAllLines(file).single()
        assertContains(line, "span=caller_edge trace_id=$traceId")
        assertContains(line, "parent_span_id=b7ad6b7169203331")
        assertContains(line, "request_id=r-1")
    }

    private fun spanId(span: RequestSpan): String = span.traceparent!!.split('-')[2]

    private class SeededIds(private val random: Random = Random(1)) : IdGenerator {
        override fun generateSpanId(): String = hex(16)

        override fun generateTraceId(): String = hex(32)

        private fun hex(digits: Int): String = (1..digits).map {
            "0123456789abcdef"[random.nextInt(16)]
        }.joinToString("")
    }
}
