package org.auburnstream.testkit.daemons

import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.golden.GoldenFile
import org.auburnstream.testkit.golden.Transcript
import org.auburnstream.testkit.process.ProcessSignal
import org.auburnstream.testkit.target.TargetBehaviour
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test

class SessionTest {
    @TempDir
    lateinit var folder: Path

    private val transcript = Transcript()

    @Test
    fun wholeSessionIsAsReviewed() = withDaemons(folder, daemons = 3) { fixture ->
        transcript.step("start d1, d2 and d3; vm-1 announces itself", "all ready")
        sendRequests(fixture)
        changeSettings(fixture)
        drainTarget(fixture)
        stopDaemons(fixture)

        GoldenFile.assertMatches("testkit/src/test/golden/session.txt", transcript.toString())
    }

    private suspend fun sendRequests(fixture: ProcessFixture) {
        val order = CallerRequest("/print/orders", body = "one growth chart", key = "order-1")
        request(fixture, 0, CallerRequest("/print/hello", method = "GET"))
        request(fixture, 1, order)
        transcript.step("runs of order-1", fixture.target.executions["order-1"].toString())
        request(fixture, 0, CallerRequest("/unknown/x", method = "GET"))
        request(fixture, 0, CallerRequest("/print/a", behaviour = TargetBehaviour.REFUSE))
        request(fixture, 0, CallerRequest("/print/b", behaviour = TargetBehaviour.TRUNCATED))
        request(fixture, 0, CallerRequest("/print/c", behaviour = TargetBehaviour.FAIL))
    }

    private suspend fun changeSettings(fixture: ProcessFixture) {
        operator(fixture, 0, "settings", "get", "/", "--key", "request.body")
        operator(fixture, 0, "settings", "set", "/", "request.body.max-bytes=8", "--wait", "in-force")
        operator(fixture, 1, "settings", "set", "/", "request.body.max-bytes=9", "--expect-version", "0")
        operator(fixture, 1, "settings", "set", "/", "request.body.max-bytes=many")
        operator(fixture, 2, "settings", "get", "/", "--key", "request.body")
        request(fixture, 2, CallerRequest("/print/orders", body = "one growth chart", key = "order-2"))
        request(fixture, 2, CallerRequest("/print/orders", body = "one", key = "order-3"))
    }

    private suspend fun drainTarget(fixture: ProcessFixture) {
        fixture.target.leave()
        val request = CallerRequest("/print/late", method = "GET")
        repeat(3) { i ->
            val refusal =
                eventually("refusal by d${i + 1}") { fixture.deployment.send(i, request) as? CallerResult.NotRun }
            transcript.request("d${i + 1}, once vm-1 is leaving", request, refusal)
        }
    }

    private suspend fun stopDaemons(fixture: ProcessFixture) {
        repeat(3) { i ->
            val child = fixture.deployment[i].child
            child.signal(ProcessSignal.TERM)
            transcript.step("stop d${i + 1}", "exit code ${child.awaitExit(DEADLINE)}")
        }
    }

    private suspend fun request(fixture: ProcessFixture, daemon: Int, request: CallerRequest) {
        transcript.request("d${daemon + 1}", request, fixture.deployment.send(daemon, request))
    }

    private suspend fun operator(fixture: ProcessFixture, daemon: Int, vararg words: String) {
        val result = fixture.deployment.control(daemon, *words)
        transcript.operator("d${daemon + 1}", words.joinToString(" "), result)
    }
}
