package org.auburnstream.daemon.operator

import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.ApiJson
import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.ChangeAnswer
import org.auburnstream.api.ChangeRequest
import org.auburnstream.api.EditRequest
import org.auburnstream.api.HistoryView
import org.auburnstream.api.PreviewRequest
import org.auburnstream.api.PreviewView
import org.auburnstream.api.SettingsView
import org.auburnstream.api.WaitFor
import org.auburnstream.daemon.replication.RejectReason
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.days

/**
 * Guards the operators' HTTP API against wrong results, untyped errors and duplicate execution.
 * Such failures come from conflicting changes, lost answers, resent operations and malformed or incomplete requests.
 */
class OperatorRoutesTest {
    private val server = OperatorServer()
    private val http = HttpClient.newHttpClient()
    private var nextId = 0

    @AfterEach
    fun stop() = server.close()

    @Test
    fun `a change is accepted, read back with its origin and found in the history`() {
        val answer = change(version = 0, "/r1", "request.deadline.default" to "2s")
        assertEquals(1, answer.version)
        assertEquals(1, answer.nodes)
        val view = decode(SettingsView.serializer(), get("${ApiRoutes.SETTINGS}?path=/r1/d1&key=request.deadline"))
        assertEquals(listOf("2s" to "/r1", "30s" to null), view.values.map { it.value to it.origin })
        val history = decode(HistoryView.serializer(), get(ApiRoutes.SETTING_CHANGES))
        assertEquals("amina", history.changes.single().operator)
        assertEquals(listOf(EditRequest("/r1", "request.deadline.default", null)), history.changes.single().undo)
    }

    @Test
    fun `of two changes with the same expected version the second gets a conflict that names the first`() {
        val first = change(version = 0, "/r1", "target.slots" to "4")
        val error = failure(send(request(version = 0, "/r1", "target.slots" to "5")), ApiErrorType.VERSION_CONFLICT)
        assertEquals(first.operation, error.conflict?.winner?.operation)
        assertEquals("amina", error.conflict?.winner?.operator)
    }

    @Test
    fun `a resend after a lost answer gets the first answer`() {
        server.group.answersToLose = 1
        val request = request(version = 0, "/r1", "target.slots" to "4")
        failure(send(request), ApiErrorType.OUTCOME_UNKNOWN)
        assertEquals(1, decode(ChangeAnswer.serializer(), send(request)).version)
        assertEquals(1, server.state.view.value.control.version.value)
        failure(send(request.copy(expectedVersion = 1)), ApiErrorType.OPERATION_REUSED)
    }

    @Test
    fun `a wait for in force reports the daemons that delayed the change`() {
        val request = request(version = 0, "/r1", "target.slots" to "4").copy(wait = WaitFor.IN_FORCE)
        val rollOut = assertNotNull(decode(ChangeAnswer.serializer(), send(request)).rollOut)
        assertTrue(rollOut.inForce)
        assertEquals("d3" to "lease", rollOut.heldBackBy.single().let { it.daemon to it.cause })
    }

    @Test
    fun `a preview lists the effective changes without applying them`() {
        change(version = 0, "/r1/d1", "target.slots" to "4")
        val body = ApiJson.encodeToString(
            PreviewRequest.serializer(),
            PreviewRequest(listOf(EditRequest("/", "target.slots", "6"))),
        )
        val view = decode(PreviewView.serializer(), post(ApiRoutes.SETTINGS_PREVIEW, body))
        assertEquals(listOf("/", "/r1"), view.changes.map { it.path })
        assertEquals(1, server.state.view.value.control.version.value)
    }

    @Test
    fun `each kind of bad request gets its typed error and the listener keeps serving`() {
        val table: List<Pair<HttpResponse<String>, ApiErrorType>> =
            listOf(
                get(ApiRoutes.STATUS, token = "wrong") to ApiErrorType.UNAUTHORIZED,
                get("${ApiRoutes.SETTINGS}?path=r1") to ApiErrorType.MALFORMED_REQUEST,
                get("${ApiRoutes.SETTING_CHANGES}?limit=0") to ApiErrorType.MALFORMED_REQUEST,
                post(ApiRoutes.SETTING_CHANGES, "{") to ApiErrorType.MALFORMED_REQUEST,
                post(ApiRoutes.SETTING_CHANGES, "x".repeat(OperatorServer.MAX_BODY.toInt() + 1)) to
                    ApiErrorType.BODY_TOO_LARGE,
                send(request(0, "r1", "target.slots" to "4")) to ApiErrorType.INVALID_CHANGE,
                send(request(0, "/r1", "target.slots" to "many")) to ApiErrorType.INVALID_CHANGE,
                send(request(0, "/r1", "target.slots" to "65")) to ApiErrorType.INVALID_CHANGE,
                send(request(7, "/r1", "target.slots" to "4")) to ApiErrorType.VERSION_UNKNOWN,
                send(request(0, "/r1", "target.slots" to "4").copy(operation = "x")) to ApiErrorType.OPERATION_INVALID,
                send(request(0, "/r1", "target.slots" to "4").copy(waitMillis = -1)) to ApiErrorType.MALFORMED_REQUEST,
            )
        for ((response, type) in table) failure(response, type)
        change(version = 0, "/r1", "target.slots" to "4")
    }

    @Test
    fun `an operation id older than the retention window is refused and not run`() {
        val old = request(version = 0, "/r1", "target.slots" to "4")
        repeat(150) {
            server.now += 1.days
            get(ApiRoutes.STATUS)
            send(request(version = it.toLong(), "/r1", "target.slots" to "${it % 2 + 1}"))
        }
        failure(send(old.copy(expectedVersion = 150)), ApiErrorType.OPERATION_EXPIRED)
        assertEquals(150, server.state.view.value.control.version.value)
    }

    @Test
    fun `a group without a leader refuses requests with a Retry-After header`() {
        server.group.rejection = RejectReason.NO_LEADER
        val response = send(request(version = 0, "/r1", "target.slots" to "4"))
        failure(response, ApiErrorType.UNAVAILABLE)
        assertEquals("1", response.headers().firstValue("Retry-After").get())
        failure(get(ApiRoutes.SETTINGS), ApiErrorType.UNAVAILABLE)
    }

    @Test
    fun `an incomplete body is rejected after the time limit`() {
        Socket("127.0.0.1", server.port).use { socket ->
            val start = "POST ${ApiRoutes.SETTING_CHANGES} HTTP/1.1\r\nHost: x\r\n"
            val head = "${start}Authorization: Bearer ${OperatorServer.TOKEN}\r\n"
            socket.getOutputStream().write("${head}Content-Length: 100\r\n\r\n{".encodeToByteArray())
            assertTrue(socket.getInputStream().bufferedReader().readLine().contains("400"))
        }
        change(version = 0, "/r1", "target.slots" to "4")
    }

    private fun change(version: Long, path: String, vararg values: Pair<String, String>): ChangeAnswer =
        decode(ChangeAnswer.serializer(), send(request(version, path, *values)))

    private fun request(version: Long, path: String, vararg values: Pair<String, String>): ChangeRequest =
        ChangeRequest(
            operation = "${server.now.toEpochMilliseconds()}-${(nextId++).toString().padStart(16, '0')}",
            expectedVersion = version,
            edits = values.map { EditRequest(path, it.first, it.second) },
        )

    private fun send(request: ChangeRequest): HttpResponse<String> =
        post(ApiRoutes.SETTING_CHANGES, ApiJson.encodeToString(ChangeRequest.serializer(), request))

    private fun get(path: String, token: String = OperatorServer.TOKEN) = http(path, token) { it.GET() }

    private fun post(path: String, body: String) =
        http(path, OperatorServer.TOKEN) { it.POST(HttpRequest.BodyPublishers.ofString(body)) }

    private fun http(
        path: String,
        token: String,
        method: (HttpRequest.Builder) -> HttpRequest.Builder,
    ): HttpResponse<String> {
        val builder = HttpRequest.newBuilder(
            URI("http://${server.address}$path"),
        ).header("Authorization", "Bearer $token")
        return http.send(method(builder).build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun <T> decode(serializer: kotlinx.serialization.KSerializer<T>, response: HttpResponse<String>): T {
        assertEquals(200, response.statusCode(), response.body())
        return ApiJson.decodeFromString(serializer, response.body())
    }

    private fun failure(response: HttpResponse<String>, type: ApiErrorType): ApiError {
        val error = ApiJson.decodeFromString(ApiError.serializer(), response.body())
        assertEquals(type.uri to type.status, error.type to response.statusCode(), response.body())
        assertEquals(ApiRoutes.PROBLEM_CONTENT_TYPE, response.headers().firstValue("Content-Type").get())
        return error
    }
}
