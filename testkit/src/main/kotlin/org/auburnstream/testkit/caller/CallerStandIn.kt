package org.auburnstream.testkit.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.auburnstream.testkit.target.TargetBehaviour
import java.net.ConnectException
import kotlin.time.Duration

/** Small caller for tests: sends each request once and classifies what it gets. */
public class CallerStandIn : AutoCloseable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        engine { requestTimeout = 0 }
    }

    /** Sends [request] to the callers' listener at 127.0.0.1:[port]. */
    public suspend fun send(port: Int, request: CallerRequest): CallerResult = try {
        classify(exchange(port, request))
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        CallerResult.NotConnected(e.toString())
    } catch (e: Exception) {
        CallerResult.NoAnswer(e.toString())
    }

    override fun close() {
        client.close()
    }

    private suspend fun exchange(port: Int, request: CallerRequest): HttpResponse =
        client.request("http://127.0.0.1:$port${request.path}") {
            method = HttpMethod.parse(request.method)
            request.key?.let { header("Idempotency-Key", it) }
            request.deadline?.let { header("X-Request-Deadline-Ms", it.inWholeMilliseconds.toString()) }
            request.behaviour?.let { header(TargetBehaviour.HEADER, it.name.lowercase()) }
            request.traceparent?.let { header("traceparent", it) }
            if (request.body.isNotEmpty()) setBody(request.body)
        }

    private suspend fun classify(response: HttpResponse): CallerResult {
        val text = response.bodyAsText()
        val isProblem = response.headers["Content-Type"]?.startsWith(PROBLEM_TYPE) == true
        if (!isProblem) return CallerResult.Answered(response.status.value, text, response.headers["X-Stand-In-Vm"])
        val problem = Json.parseToJsonElement(text).jsonObject
        val type = problem.text("type").substringAfterLast(':')
        val status = response.status.value
        val retryAfter = response.headers["Retry-After"]?.toIntOrNull()
        return when (problem.text("outcome")) {
            "not-run" -> CallerResult.NotRun(status, type, retryAfter)
            else -> CallerResult.Unknown(status, type)
        }
    }
}

/**
 * Request of a stand-in caller.
 *
 * @property path path with the service first, such as `/print/orders`.
 * @property key idempotency key, which also names the request in the target's counts.
 */
public data class CallerRequest(
    val path: String,
    val method: String = "POST",
    val body: String = "",
    val key: String? = null,
    val deadline: Duration? = null,
    val behaviour: TargetBehaviour? = null,
    val traceparent: String? = null,
)

/** What a stand-in caller got for a request. */
public sealed interface CallerResult {
    /** The target's whole answer. */
    public data class Answered(val status: Int, val body: String, val vm: String?) : CallerResult

    /** The daemon says that the request was not run. */
    public data class NotRun(val status: Int, val type: String, val retryAfterSeconds: Int?) : CallerResult

    /** The daemon says that the request may have run. */
    public data class Unknown(val status: Int, val type: String) : CallerResult

    /** No connection could be opened, so that nothing was sent. */
    public data class NotConnected(val cause: String) : CallerResult

    /** The connection failed, so that the request may have run. */
    public data class NoAnswer(val cause: String) : CallerResult
}

private const val PROBLEM_TYPE = "application/problem+json"

private fun JsonObject.text(name: String): String = this[name]?.jsonPrimitive?.contentOrNull.orEmpty()
