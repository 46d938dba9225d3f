package org.auburnstream.testkit.daemons

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.process.ProcessSignal
import org.auburnstream.testkit.target.TargetBehaviour
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StopSignalTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun requestInProgressFinishesAndNewOnesAreNotRun() = withDaemons(folder, daemons = 1) { (deployment, target) ->
        val held = hold(ProcessFixture(deployment, target))

        deployment[0].child.signal(ProcessSignal.TERM)

        assertEquals("stopping", deployment[0].awaitUnready())
        val late = eventually("refusal of new work") {
            deployment.send(0, CallerRequest("/print/late")).takeIf { it !is CallerResult.Answered }
        }
        assertEquals(0, target.executions["POST /late"], "runs of the request that got $late")
        assertTrue(
            late is CallerResult.NotRun || late is CallerResult.NotConnected,
            "not told that it was not run: $late",
        )
        target.release.complete(Unit)
        assertEquals(CallerResult.Answered(200, "POST /orders/held\n", "vm-1"), held.await())
        assertEquals(0, deployment[0].child.awaitExit(DEADLINE), "exit code")
    }

    @Test
    fun secondSignalEndsAtOnce() = withDaemons(folder, daemons = 1) { fixture ->
        val held = hold(fixture)
        val daemon = fixture.deployment[0]

        daemon.child.signal(ProcessSignal.TERM)
        daemon.awaitUnready()
        daemon.child.signal(ProcessSignal.TERM)

        assertEquals(143, daemon.child.awaitExit(DEADLINE))
        assertIs<CallerResult.NoAnswer>(held.await())
        Unit
    }

    /** Sends a request that the target holds, and returns once the target runs it. */
    private suspend fun CoroutineScope.hold(fixture: ProcessFixture): Deferred<CallerResult> {
        val request = CallerRequest("/print/orders/held", behaviour = TargetBehaviour.HOLD)
        val held = async { fixture.deployment.send(0, request) }
        eventually("run of the held request") { Unit.takeIf { fixture.target.executions["POST /orders/held"] == 1 } }
        return held
    }
}
