package org.auburnstream.dispatch.operators

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.ApiJson
import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.schedule.JobReceipt
import org.auburnstream.api.schedule.JobSubmission
import org.auburnstream.api.schedule.QueueView
import org.auburnstream.api.schedule.ScheduleRoutes
import org.auburnstream.api.schedule.ScheduledJobView
import org.auburnstream.api.schedule.TenantView
import org.auburnstream.api.schedule.UpkeepView
import org.auburnstream.api.schedule.WorkerView
import org.auburnstream.dispatch.LeaderAccess
import org.auburnstream.dispatch.ListenerKind
import org.auburnstream.dispatch.RequestHandler
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.JobId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.TenantName
import org.auburnstream.scheduling.problem
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves the operators' interface for jobs, queues, tenants, workers and waves on the leader.
 *
 * A quorum confirms every read before it is answered. The operator chooses the id of a job, so a request whose answer
 * was lost can be sent again without creating a second job.
 *
 * @property nowMs returns the time of day in Unix milliseconds.
 */
public class OperatorRequests(private val nowMs: () -> Long) : RequestHandler {
    override fun handle(
        listener: ListenerKind,
        request: HttpRequest,
        leader: LeaderAccess,
        respond: (HttpResponse?) -> Unit,
    ) {
        val segments = request.path.removePrefix("${ScheduleRoutes.JOBS}/").split('/')
        val isJobPath = request.path.startsWith("${ScheduleRoutes.JOBS}/")
        when {
            isJobPath && segments.size == 1 && request.method == "GET" ->
                leader.read { respond(job(JobId(segments[0]), it)) }
            isJobPath && segments.size == 2 && segments[1] == ScheduleRoutes.CANCEL && request.method == "POST" ->
                cancel(JobId(segments[0]), leader, respond)
            isJobPath -> respond(notFound("${request.method} ${request.path}"))
            request.method == "POST" && request.path == ScheduleRoutes.JOBS -> submit(request, leader, respond)
            request.method == "GET" -> list(request, leader, respond)
            else -> respond(notFound("${request.method} ${request.path}"))
        }
    }

    override fun noLeader(listener: ListenerKind, request: HttpRequest): HttpResponse = error(
        ApiErrorType.UNAVAILABLE,
        "no leader of the control group is known here; nothing was done",
        "try again, or ask another control process",
        retryAfterMillis = LEADER_RETRY_DELAY_MS,
    )

    override fun unknown(listener: ListenerKind, request: HttpRequest): HttpResponse = error(
        ApiErrorType.OUTCOME_UNKNOWN,
        "the answer of the control group was lost",
        "send the same request again; it is carried out once",
    )

    override fun isRepeatable(listener: ListenerKind, request: HttpRequest): Boolean = true

    override fun clientTimeoutMs(request: HttpRequest): Long? = null

    private fun list(request: HttpRequest, leader: LeaderAccess, respond: (HttpResponse?) -> Unit) {
        val views = ScheduleViews(nowMs())
        val queue = request.parameter(ScheduleRoutes.QUEUE)?.let(::QueueName)
        val answer: (SchedulerState) -> HttpResponse = when (request.path) {
            ScheduleRoutes.JOBS -> { state ->
                ok(ListSerializer(ScheduledJobView.serializer()), views.jobs(state, queue))
            }
            ScheduleRoutes.QUEUES -> { state -> ok(ListSerializer(QueueView.serializer()), views.queues(state)) }
            ScheduleRoutes.TENANTS -> { state -> ok(ListSerializer(TenantView.serializer()), views.tenants(state)) }
            ScheduleRoutes.WORKERS -> { state -> ok(ListSerializer(WorkerView.serializer()), views.workers(state)) }
            ScheduleRoutes.WAVES -> { state -> ok(ListSerializer(UpkeepView.serializer()), views.waves(state)) }
            else -> return respond(notFound("GET ${request.path}"))
        }
        leader.read { state -> respond(state?.let(answer)) }
    }

    private fun job(id: JobId, state: SchedulerState?): HttpResponse? {
        if (state == null) return null
        val job = state.jobs[id] ?: return notFound("job $id")
        return ok(ScheduledJobView.serializer(), ScheduleViews(nowMs()).job(job))
    }

    private fun submit(request: HttpRequest, leader: LeaderAccess, respond: (HttpResponse?) -> Unit) {
        val submission = try {
            ApiJson.decodeFromString(
                JobSubmission.serializer(),
                request.body.decodeToString(throwOnInvalidSequence = true),
            )
        } catch (e: IllegalArgumentException) {
            return respond(malformed("the job cannot be read: ${e.message?.lineSequence()?.first()}"))
        } catch (e: CharacterCodingException) {
            return respond(malformed("the job is not UTF-8: ${e.message}"))
        }
        if (!JOB_ID.matches(submission.id)) return respond(malformed("the id '${submission.id}' is not 16 hex digits"))
        val description = submission.toDescription()
        description.problem()?.let { return respond(malformed(it.message)) }
        val catalog = leader.state.catalog
        val queue = catalog?.queue(QueueName(submission.queue))
            ?: return respond(malformed("there is no queue '${submission.queue}'"))
        val tenant = submission.tenant?.let { name ->
            catalog.tenant(TenantName(name))?.name ?: return respond(malformed("there is no tenant '$name'"))
        }
        val id = JobId(submission.id)
        leader.offer({ Event.JobSubmitted(it, id, queue, description, tenant) }) { respond(receipt(id, it)) }
    }

    private fun cancel(id: JobId, leader: LeaderAccess, respond: (HttpResponse?) -> Unit) {
        leader.offer({ Event.CancelRequested(it, id) }) { reply ->
            if (reply != Reply.NoSuchJob) return@offer respond(receipt(id, reply))
            // The answer that a job does not exist is a read of the state, so a quorum has to confirm it.
            leader.read { state ->
                respond(if (state == null || id in state.jobs) null else notFound("job $id"))
            }
        }
    }

    private fun receipt(id: JobId, reply: Reply): HttpResponse? = when (reply) {
        Reply.Accepted -> ok(JobReceipt.serializer(), JobReceipt(id.value))
        Reply.NoSuchJob -> notFound("job $id")
        Reply.NotPermitted -> malformed("the id $id belongs to a job of a tenant; choose another id")
        Reply.Unknown -> null
        is Reply.TooLarge -> malformed("the job takes ${reply.bytes} bytes, at most ${reply.maxBytes}; split it")
        is Reply.NotAccepted -> error(
            ApiErrorType.UNAVAILABLE,
            "the order for job $id was not stored: ${reply.reason.name.lowercase().replace('_', ' ')}",
            "try again later",
            retryAfterMillis = reply.retryAfter.inWholeMilliseconds,
        )
    }

    public companion object {
        private val JOB_ID = Regex("[0-9a-fA-F]{16}")

        /** Typical duration of an election. */
        private const val LEADER_RETRY_DELAY_MS = 1_000L
        private const val HTTP_OK = 200

        /** Returns the answer to a request without the operators' token. */
        public fun unauthorized(): HttpResponse = error(
            ApiErrorType.UNAUTHORIZED,
            "the request does not carry the operators' token of this process",
            "start the process with $TOKEN_VARIABLE set and send the same token",
        )

        /** Name of the environment variable with the operators' token. */
        public const val TOKEN_VARIABLE: String = "AUBURNSTREAM_OPERATOR_TOKEN"

        private fun <T> ok(serializer: KSerializer<T>, value: T): HttpResponse =
            HttpResponse.json(HTTP_OK, ApiJson.encodeToString(serializer, value))

        private fun notFound(subject: String): HttpResponse =
            error(ApiErrorType.NOT_FOUND, "there is no $subject", "check the id and the path")

        private fun malformed(detail: String): HttpResponse =
            error(ApiErrorType.MALFORMED_REQUEST, detail, "correct the job and send it again")

        private fun error(
            type: ApiErrorType,
            detail: String,
            remedy: String,
            retryAfterMillis: Long? = null,
        ): HttpResponse {
            val error = ApiError(
                type = type.uri,
                title = type.title,
                status = type.status,
                detail = detail,
                remedy = remedy,
                retryAfterMillis = retryAfterMillis,
            )
            val headers = mapOf("content-type" to ApiRoutes.PROBLEM_CONTENT_TYPE)
            val text = ApiJson.encodeToString(ApiError.serializer(), error)
            return HttpResponse(type.status, text.encodeToByteArray(), headers + retryHeader(retryAfterMillis))
        }

        private fun retryHeader(afterMs: Long?): Map<String, String> {
            if (afterMs == null) return emptyMap()
            return mapOf("retry-after" to maxOf(1, afterMs.milliseconds.inWholeSeconds).toString())
        }
    }
}
