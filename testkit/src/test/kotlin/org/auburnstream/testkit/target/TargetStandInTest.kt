package org.auburnstream.testkit.target

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.VmId
import org.auburnstream.testkit.caller.CallerRequest
import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.caller.CallerStandIn
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

class TargetStandInTest {
    private val caller = CallerStandIn()
    private val target = TargetStandIn(
        Announcement(VmId("vm-1"), 1, DataCentreId("dc"), RackId("r"), PoolId("p"), address = "127.0.0.1", port = 0),
    )

    @AfterTest
    fun close() {
        caller.close()
        target.close()
    }

    @Test
    fun echoesAndCountsEachKey() = runBlocking {
        target.start()

        val first = send(TargetBehaviour.ECHO, "k1")
        send(TargetBehaviour.ECHO, "k2")
        send(TargetBehaviour.ECHO, "k2")

        assertEquals(CallerResult.Answered(200, "POST /x\nbody of k1", "vm-1"), first)
        assertEquals(1, target.executions["k1"])
        assertEquals(setOf("k2"), target.executions.repeated())
        assertEquals(3, target.executions.total)
    }

    @Test
    fun misbehavesAsAsked() = runBlocking {
        target.start()

        assertIs<CallerResult.NoAnswer>(send(TargetBehaviour.TRUNCATED, "k1"))
        assertIs<CallerResult.NoAnswer>(send(TargetBehaviour.CLOSE, "k2"))
        assertEquals(500, assertIs<CallerResult.Answered>(send(TargetBehaviour.FAIL, "k3")).status)
        assertEquals(503, assertIs<CallerResult.Answered>(send(TargetBehaviour.REFUSE, "k4")).status)
        assertEquals(listOf(1, 1, 1, 0), listOf("k1", "k2", "k3", "k4").map { target.executions[it] })
    }

    @Test
    fun heldRequestWaitsForItsRelease() = runBlocking {
        target.start()

        val held = async { send(TargetBehaviour.HOLD, "k1") }
        assertIs<CallerResult.Answered>(send(TargetBehaviour.ECHO, "k2"))
        assertFalse(held.isCompleted)
        target.release.complete(Unit)

        assertIs<CallerResult.Answered>(held.await())
        Unit
    }

    private suspend fun send(behaviour: TargetBehaviour, key: String): CallerResult =
        caller.send(target.port, CallerRequest("/x", body = "body of $key", key = key, behaviour = behaviour))
}
