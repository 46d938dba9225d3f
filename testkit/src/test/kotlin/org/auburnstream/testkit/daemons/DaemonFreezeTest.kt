package org.auburnstream.testkit.daemons

import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.process.ProcessSignal
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class DaemonFreezeTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun frozenDaemonWakesWithoutItsLease() = withDaemons(folder, daemons = 3) { (deployment, target) ->
        val order = CallerRequest("/print/orders/1", body = "longer than eight bytes")
        // Only the lease may keep the woken daemon from running the order, not an expired target.
        val kept = deployment.control(0, "settings", "set", "/", "target.expiry=5m", "--wait", "in-force")
        assertEquals(0, kept.exitCode, kept.output)
        val frozen = deployment[2]
        frozen.child.signal(ProcessSignal.STOP)

        val change = deployment.control(0, "settings", "set", "/", "request.body.max-bytes=8", "--wait", "in-force")
        assertEquals(0, change.exitCode, change.output)
        frozen.child.signal(ProcessSignal.CONT)
        val first = deployment.send(2, order)

        assertIs<CallerResult.NotRun>(first, "the request must not run under the settings from before the change")
        assertEquals(0, target.executions["POST /orders/1"])
        frozen.awaitReady()
        deployment.awaitAnswer(2, "/print/x")
        assertEquals(413, assertIs<CallerResult.NotRun>(deployment.send(2, order)).status)
    }
}
