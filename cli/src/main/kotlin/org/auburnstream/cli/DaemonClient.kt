package org.auburnstream.cli

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.SerializationException
import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.ApiJson
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Result of a call to the daemons. */
public sealed interface CallResult {
    /** The daemon answered with the message [json]. */
    public data class Answer(val json: String) : CallResult

    /** The call failed. */
    public data class Failed(val problem: CliProblem) : CallResult
}

/**
 * Calls the operators' interface of the first daemon that answers.
 *
 * A call that gets no answer, or the answer that the group is not available, goes to the next daemon, with the same
 * content. A call that changes something must therefore carry an operation id, which the group runs at most once.
 *
 * @param addresses `host:port` or full URLs, tried in turn.
 * @param rounds times that the list of addresses is gone through.
 */
public class DaemonClient(
    private val http: HttpClient,
    private val addresses: List<String>,
    private val token: String,
    private val rounds: Int = 2,
) {
    /** Reads [path] with the query [parameters]; those that are null are left out. */
    public suspend fun get(path: String, parameters: List<Pair<String, String?>> = emptyList()): CallResult =
        call(operation = null, changes = false) { address ->
            prepare(address, HttpMethod.Get, path)
            parameters.forEach { (name, value) -> parameter(name, value) }
        }

    /** Sends [json] to [path]; [operation] is the id inside it, or null if the call changes nothing. */
    public suspend fun post(path: String, json: String, operation: String? = null): CallResult =
        call(operation, changes = operation != null) { address ->
            prepare(address, HttpMethod.Post, path)
            contentType(ContentType.Application.Json)
            setBody(json)
        }

    private suspend fun call(
        operation: String?,
        changes: Boolean,
        build: HttpRequestBuilder.(String) -> Unit,
    ): CallResult {
        val attempts = mutableListOf<String>()
        var refusal: CliProblem.Refused? = null
        // Once one attempt may have reached the group, a later "nothing was done" speaks of that later attempt alone.
        var outcomeOpen = false
        repeat(rounds) {
            for (address in addresses) {
                when (val attempt = attempt(address, build)) {
                    is Attempt.Answered -> return CallResult.Answer(attempt.json)
                    is Attempt.Malformed -> return CallResult.Failed(
                        CliProblem.MalformedAnswer(address, attempt.detail),
                    )
                    is Attempt.Refused -> {
                        val problem = CliProblem.Refused(attempt.error, address)
                        if (!problem.canPass()) return CallResult.Failed(problem)
                        outcomeOpen = outcomeOpen || problem.exit == ExitCode.UNKNOWN
                        refusal = problem
                        attempts += "$address: ${attempt.error.detail}"
                    }
                    is Attempt.NotSent -> attempts += "$address: ${attempt.reason}"
                    is Attempt.Lost -> {
                        outcomeOpen = true
                        attempts += "$address: ${attempt.reason}"
                    }
                }
            }
        }
        val problem =
            when {
                changes && outcomeOpen -> CliProblem.OutcomeUnknown(operation, attempts)
                refusal != null -> refusal
                else -> CliProblem.Unreachable(attempts)
            }
        return CallResult.Failed(problem)
    }

    private suspend fun attempt(address: String, build: HttpRequestBuilder.(String) -> Unit): Attempt = try {
        val response = http.request { build(address) }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) Attempt.Answered(text) else refused(text, response.status.value)
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        Attempt.NotSent(reason(e))
    } catch (e: UnresolvedAddressException) {
        Attempt.NotSent("unknown host")
    } catch (e: Exception) {
        Attempt.Lost(reason(e))
    }

    private fun refused(text: String, status: Int): Attempt = try {
        Attempt.Refused(ApiJson.decodeFromString(ApiError.serializer(), text))
    } catch (_: SerializationException) {
        Attempt.Malformed("status $status without a typed error")
    } catch (_: IllegalArgumentException) {
        Attempt.Malformed("status $status without a typed error")
    }

    private fun HttpRequestBuilder.prepare(address: String, method: HttpMethod, path: String) {
        this.method = method
        url("${baseUrl(address)}$path")
        bearerAuth(token)
    }

    private fun baseUrl(address: String): String = if ("://" in address) address.trimEnd('/') else "http://$address"

    private fun reason(e: Exception): String = e.message?.lineSequence()?.first() ?: e.javaClass.simpleName

    private fun CliProblem.Refused.canPass(): Boolean = when (ApiErrorType.ofUri(error.type)) {
        ApiErrorType.UNAVAILABLE, ApiErrorType.OUTCOME_UNKNOWN -> true
        else -> false
    }

    private sealed interface Attempt {
        class Answered(val json: String) : Attempt

        class Refused(val error: ApiError) : Attempt

        class Malformed(val detail: String) : Attempt

        class NotSent(val reason: String) : Attempt

        class Lost(val reason: String) : Attempt
    }

    public companion object {
        /** Installs what the client needs; [timeoutMillis] is the longest time for one attempt. */
        public fun configure(http: io.ktor.client.HttpClientConfig<*>, timeoutMillis: Long) {
            http.expectSuccess = false
            http.install(HttpTimeout) {
                requestTimeoutMillis = timeoutMillis
                connectTimeoutMillis = minOf(timeoutMillis, MAX_CONNECT_MILLIS)
            }
        }

        private const val MAX_CONNECT_MILLIS = 2_000L
    }
}
