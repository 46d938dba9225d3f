package org.auburnstream.testkit.daemons

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.testkit.process.Deployment
import org.auburnstream.testkit.target.TargetStandIn
import java.nio.file.Path
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longest wait for any event of a process test; long enough for a busy machine, since events end the waits. */
internal val DEADLINE: Duration = 60.seconds

/** Daemons as processes with one stand-in target in the test's own process. */
internal data class ProcessFixture(val deployment: Deployment, val target: TargetStandIn)

/** Runs [block] once [daemons] daemons are ready and each has answered from a target of the service `print`. */
internal fun withDaemons(
    folder: Path,
    daemons: Int,
    vararg flags: String,
    block: suspend CoroutineScope.(ProcessFixture) -> Unit,
): Unit = runBlocking {
    Deployment.start(folder, daemons, listOf("--unready-period", "0s") + flags).use { deployment ->
        TargetStandIn(announcement("vm-1"), deployment.targetListeners).use { target ->
            target.start()
            repeat(daemons) { deployment.awaitAnswer(it, "/print/first") }
            block(ProcessFixture(deployment, target))
        }
    }
}

internal fun announcement(vm: String): Announcement = Announcement(
    vm = VmId(vm),
    incarnation = 1,
    dataCentre = DataCentreId("dc-1"),
    rack = RackId("rack-1"),
    pool = PoolId("print"),
    address = "127.0.0.1",
    port = 0,
    service = ServiceId("print"),
)

/** Polls [read] until it returns a value; fails naming [what] once [DEADLINE] has passed. */
internal suspend fun <T : Any> eventually(what: String, read: suspend () -> T?): T = withTimeoutOrNull(DEADLINE) {
    var value = read()
    while (value == null) {
        delay(10.milliseconds)
        value = read()
    }
    value
} ?: fail("$what did not happen within $DEADLINE")
