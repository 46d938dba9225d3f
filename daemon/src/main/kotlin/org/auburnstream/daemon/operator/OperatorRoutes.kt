package org.auburnstream.daemon.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.ApiJson
import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.StatusView
import org.auburnstream.model.OperatorId
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Dependencies and limits of the operators' routes.
 *
 * @property authenticate returns the operator that owns the token, or null.
 * @property status returns the current status of this daemon.
 * @property maxBodyBytes maximum size of a request body.
 * @property bodyTimeout maximum time for receiving a request body.
 */
public class OperatorServices(
    public val control: ControlService,
    public val status: () -> StatusView,
    public val authenticate: (token: String) -> OperatorId?,
    public val clock: Clock = Clock.System,
    public val timeSource: TimeSource = TimeSource.Monotonic,
    public val maxBodyBytes: Long = DEFAULT_MAX_BODY_BYTES,
    public val bodyTimeout: Duration = 10.seconds,
) {
    private companion object {
        const val DEFAULT_MAX_BODY_BYTES = 4_194_304L
    }
}

/** Adds the operators' API to a server. Every route requires a bearer token and responds with JSON. */
public fun Route.operatorRoutes(services: OperatorServices) {
    val operators = OperatorRoutes(services)
    val settings = SettingsHandlers(services.control, services.clock, services.timeSource)
    operators.read(this, ApiRoutes.SETTINGS) { settings.get(parameter("path"), parameter("key")) }
    operators.read(this, ApiRoutes.SETTING_KEYS) { settings.keys() }
    operators.read(this, ApiRoutes.SETTING_NODES) { settings.nodes(parameter("path")) }
    operators.read(this, ApiRoutes.SETTING_CHANGES) {
        settings.history(parameter("path"), parameter("limit"), parameter("before"))
    }
    operators.write(this, ApiRoutes.SETTING_CHANGES) { operator, body -> settings.change(operator, body) }
    operators.write(this, ApiRoutes.SETTING_NODES) { operator, body -> settings.changeNodes(operator, body) }
    operators.write(this, ApiRoutes.SETTINGS_PREVIEW) { _, body -> settings.preview(body) }
    operators.read(this, ApiRoutes.STATUS) { Reply.of(StatusView.serializer(), services.status()) }
}

/**
 * Registers operators' routes one by one. Other parts of the daemon use it to add routes with the same token check,
 * limits and error responses.
 */
public class OperatorRoutes(private val services: OperatorServices) {
    private val log = LoggerFactory.getLogger(OperatorRoutes::class.java)

    /** Serves GET requests for [path]. */
    public fun read(route: Route, path: String, handler: suspend RoutingCall.(OperatorId) -> Reply) {
        route.get(path) { call.answer { operator -> call.handler(operator) } }
    }

    /** Serves POST requests for [path]; the handler receives the complete body as text. */
    public fun write(route: Route, path: String, handler: suspend RoutingCall.(OperatorId, String) -> Reply) {
        route.post(path) {
            call.answer { operator -> call.body().then { call.handler(operator, it) } }
        }
    }

    private suspend fun ApplicationCall.answer(handler: suspend (OperatorId) -> Reply) {
        val operator = operator()
        val reply =
            if (operator == null) {
                Reply.Failure(unauthorized())
            } else {
                try {
                    handler(operator)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("event=operator_request_failed operator={} error={}", operator, e.javaClass.name, e)
                    Reply.Failure(internalError())
                }
            }
        send(reply)
    }

    private fun ApplicationCall.operator(): OperatorId? {
        val header = request.header(HttpHeaders.Authorization) ?: return null
        if (!header.startsWith(BEARER)) return null
        return services.authenticate(header.removePrefix(BEARER))
    }

    private suspend fun ApplicationCall.body(): Parsed<String> {
        val declaredLength = request.contentLength() ?: 0
        if (declaredLength > services.maxBodyBytes) return Parsed.Failed(bodyTooLarge())
        val bytes =
            withTimeoutOrNull(services.bodyTimeout) {
                receiveChannel().readRemaining(services.maxBodyBytes + 1).readByteArray()
            }
        return when {
            bytes == null -> Parsed.Failed(incompleteBody())
            bytes.size > services.maxBodyBytes -> Parsed.Failed(bodyTooLarge())
            bytes.size < declaredLength -> Parsed.Failed(incompleteBody())
            else -> Parsed.Value(bytes.decodeToString())
        }
    }

    private suspend fun ApplicationCall.send(reply: Reply) {
        when (reply) {
            is Reply.Success -> respondText(reply.json, ContentType.Application.Json)
            is Reply.Failure -> {
                val error = reply.error
                val text = ApiJson.encodeToString(ApiError.serializer(), error)
                error.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, ceilSeconds(it)) }
                if (error.status == HttpStatusCode.Unauthorized.value) {
                    response.header(HttpHeaders.WWWAuthenticate, BEARER.trim())
                }
                respondText(
                    text,
                    ContentType.parse(ApiRoutes.PROBLEM_CONTENT_TYPE),
                    HttpStatusCode.fromValue(error.status),
                )
            }
        }
    }

    private fun ceilSeconds(millis: Long): String = ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString()

    private fun unauthorized(): ApiError = OperatorErrors.of(
        type = ApiErrorType.UNAUTHORIZED,
        detail = "The request carries no known token.",
        remedy = "Give 'Authorization: Bearer <token>' with a token from the daemon's token file.",
    )

    private fun internalError(): ApiError = OperatorErrors.of(
        type = ApiErrorType.INTERNAL,
        detail = "The daemon could not answer because of a fault of its own.",
        remedy = "See the daemon's log, event operator_request_failed.",
    )

    private fun bodyTooLarge(): ApiError = OperatorErrors.of(
        type = ApiErrorType.BODY_TOO_LARGE,
        detail = "The body exceeds ${services.maxBodyBytes} bytes.",
        remedy = "Split the request.",
    )

    private fun incompleteBody(): ApiError = OperatorErrors.malformed(
        "The body did not arrive whole within ${services.bodyTimeout}.",
        "Send the request again.",
    )

    private companion object {
        const val BEARER = "Bearer "
        const val MILLIS_PER_SECOND = 1_000
    }
}

/** Returns the query parameter [name], or null. */
internal fun RoutingCall.parameter(name: String): String? = request.queryParameters[name]
