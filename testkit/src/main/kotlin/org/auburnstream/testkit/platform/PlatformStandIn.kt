package org.auburnstream.testkit.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.daemon.fleet.PlatformJson
import org.auburnstream.daemon.fleet.PlatformPaths
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.WorkerReport
import org.auburnstream.model.VmId
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/**
 * Stand-in for the platform that restarts and reassigns VMs and runs jobs, each permit at most once.
 *
 * @param act carries an accepted request out on the test's VMs.
 * @param loseAnswer likelihood that an answer is lost after the act, 0 to 1.
 * @param workers reports that are read as usage.
 */
public class PlatformStandIn(
    private val act: suspend (PlatformRequest) -> Unit,
    private val loseAnswer: Double = 0.0,
    private val random: Random = Random(0),
    private val workers: () -> List<WorkerReport> = { emptyList() },
) {
    private val lock = Mutex()
    private val highest = hashMapOf<PermitScope, FleetRevision>()
    private val done = CopyOnWriteArrayList<PlatformRequest>()
    private var server: EmbeddedServer<*, *>? = null

    /** Requests that were carried out, in order. */
    public val carriedOut: List<PlatformRequest> get() = done.toList()

    /** Begins to listen on [host] and returns the bound TCP port. */
    public suspend fun start(host: String, port: Int = 0): Int {
        val started =
            embeddedServer(CIO, port = port, host = host) {
                routing {
                    post(PlatformPaths.REQUESTS) { call.answerRequest() }
                    post(PlatformPaths.LEASES) { call.respondText("") }
                    get(PlatformPaths.WORKERS) { call.answerWorkers() }
                }
            }
        server = started
        started.startSuspend(wait = false)
        return started.engine.resolvedConnectors().first().port
    }

    /** Stops listening. */
    public suspend fun close() {
        server?.stopSuspend(0, 0)
    }

    private suspend fun RoutingCall.answerRequest() {
        val request = PlatformJson.decodeFromString(PlatformRequest.serializer(), receiveText())
        val answer = lock.withLock { carryOut(request) }
        if (random.nextDouble() < loseAnswer) {
            respondText("", status = HttpStatusCode.BadGateway)
        } else {
            respondText(PlatformJson.encodeToString(PlatformAnswer.serializer(), answer))
        }
    }

    private suspend fun RoutingCall.answerWorkers() {
        respondText(PlatformJson.encodeToString(ListSerializer(WorkerReport.serializer()), workers()))
    }

    private suspend fun carryOut(request: PlatformRequest): PlatformAnswer {
        val scope = scopeOf(request)
        val last = highest[scope] ?: FleetRevision.Zero
        if (request.permit < last) return PlatformAnswer.Superseded(last)
        if (request.permit > last) {
            highest[scope] = request.permit
            act(request)
            done += request
        }
        return PlatformAnswer.Done
    }

    private fun scopeOf(request: PlatformRequest): PermitScope = when (request) {
        is PlatformRequest.Restart, is PlatformRequest.Reassign -> PermitScope(request.vm)
        is PlatformRequest.RunJob -> PermitScope(request.vm, request.job.id.value)
        is PlatformRequest.ApplyJobAction -> PermitScope(request.vm, "${request.job}/${request.action}")
    }

    /** What permits are ordered within. */
    private data class PermitScope(val vm: VmId, val job: String = "")
}
