package org.auburnstream.daemon.fleet

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.WorkerReport
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Implements [Platform] over HTTP with JSON bodies; all paths are relative to [baseUrl]. */
public class HttpPlatform(
    private val http: HttpClient,
    private val baseUrl: String,
    private val timeout: Duration = 5.seconds,
) : Platform {
    override suspend fun carryOut(request: PlatformRequest): PlatformResult<PlatformAnswer> {
        val body = PlatformJson.encodeToString(PlatformRequest.serializer(), request)
        return call(PlatformAnswer.serializer()) { post(PlatformPaths.REQUESTS, body) }
    }

    override suspend fun renew(leases: List<JobLease>): PlatformResult<Unit> {
        val body = PlatformJson.encodeToString(ListSerializer(JobLease.serializer()), leases)
        return timedCall({ }) { post(PlatformPaths.LEASES, body) }
    }

    override suspend fun workers(): PlatformResult<List<WorkerReport>> =
        call(ListSerializer(WorkerReport.serializer())) { http.get(baseUrl + PlatformPaths.WORKERS) }

    private suspend fun post(path: String, body: String): HttpResponse = http.post(baseUrl + path) {
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    private suspend fun <T> call(serializer: KSerializer<T>, send: suspend () -> HttpResponse): PlatformResult<T> =
        timedCall({ PlatformJson.decodeFromString(serializer, it) }, send)

    private suspend fun <T> timedCall(decode: (String) -> T, send: suspend () -> HttpResponse): PlatformResult<T> =
        withTimeoutOrNull(timeout) { sendAndDecode(decode, send) } ?: PlatformResult.Unanswered(PlatformFault.TIMEOUT)

    private suspend fun <T> sendAndDecode(decode: (String) -> T, send: suspend () -> HttpResponse): PlatformResult<T> =
        try {
            val response = send()
            val text = response.bodyAsText()
            if (response.status.isSuccess()) {
                PlatformResult.Answered(decode(text))
            } else {
                PlatformResult.Unanswered(PlatformFault.REFUSED)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: SerializationException) {
            PlatformResult.Unanswered(PlatformFault.MALFORMED)
        } catch (e: IOException) {
            PlatformResult.Unanswered(PlatformFault.UNREACHABLE)
        }
}

/** Paths of the platform's HTTP API. */
public object PlatformPaths {
    /** Accepts platform requests. */
    public const val REQUESTS: String = "/v1/requests"

    /** Renews job leases. */
    public const val LEASES: String = "/v1/leases"

    /** Returns the workers' resource usage. */
    public const val WORKERS: String = "/v1/workers"
}

/** JSON format of the platform's HTTP API. */
public val PlatformJson: Json = Json { ignoreUnknownKeys = true }
