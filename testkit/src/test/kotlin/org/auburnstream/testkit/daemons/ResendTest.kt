package org.auburnstream.testkit.daemons

import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.process.ProcessSignal
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ResendTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun resentOrderRunsOnceWhicheverDaemonItGoesThrough() = withDaemons(folder, daemons = 3) { (deployment, target) ->
        val order = CallerRequest("/print/orders", body = "one growth chart", key = "order-1")
        val first = deployment.send(0, order)

        assertEquals(first, deployment.send(0, order))
        assertEquals(first, deployment.send(1, order))
        deployment[0].child.signal(ProcessSignal.KILL)
        val resent = eventually("answer to a resend after the kill") {
            deployment.send(2, order) as? CallerResult.Answered
        }
        assertEquals(first, resent)
        assertEquals(422, (deployment.send(1, order.copy(body = "another")) as? CallerResult.NotRun)?.status)
        assertEquals(1, target.executions["order-1"])
    }
}
