package org.auburnstream.dispatch.group

import org.auburnstream.dispatch.LeaderAccess
import org.auburnstream.dispatch.ListenerKind
import org.auburnstream.dispatch.RequestHandler
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.JobDescription
import org.auburnstream.scheduling.Queue
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.ServiceTerms
import org.auburnstream.scheduling.StepDescription

/**
 * Submits a job or the catalog with `POST`, and reads whether a job is there with `GET`; the path names the job.
 *
 * @property process name of the process, which is the body of each answer that it gives as the leader.
 */
internal class SubmissionHandler(private val process: String) : RequestHandler {
    override fun handle(
        listener: ListenerKind,
        request: HttpRequest,
        leader: LeaderAccess,
        respond: (HttpResponse?) -> Unit,
    ) {
        val id = JobId(request.path)
        when {
            request.method == "GET" -> leader.read { state ->
                val status = if (state == null) {
                    UNAVAILABLE
                } else if (id in state.active) {
                    OK
                } else {
                    NOT_FOUND
                }
                respond(answer(status))
            }
            request.path == CATALOG_PATH ->
                leader.offer({ Event.CatalogSubmitted(it, catalog, document = "{}") }) { respond(encode(it)) }
            else -> leader.offer({ Event.JobSubmitted(it, id, queue, job) }) { respond(encode(it)) }
        }
    }

    private fun encode(reply: Reply): HttpResponse? = when (reply) {
        Reply.Accepted -> answer(OK)
        Reply.Unknown -> null
        else -> answer(UNAVAILABLE)
    }

    private fun answer(status: Int) = HttpResponse(status, process.encodeToByteArray())

    override fun noLeader(listener: ListenerKind, request: HttpRequest) = HttpResponse(UNAVAILABLE)

    override fun unknown(listener: ListenerKind, request: HttpRequest) = HttpResponse(UNKNOWN)

    override fun isRepeatable(listener: ListenerKind, request: HttpRequest) = true

    override fun clientTimeoutMs(request: HttpRequest) = REQUEST_TIME_MS

    companion object {
        const val CATALOG_PATH = "/catalog"
        const val OK = 200
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
        private const val UNKNOWN = 504
        private const val REQUEST_TIME_MS = 1_000L
        private val service = ServiceId("print")
        private val queue = Queue(QueueName("plates"), "host", "/plates/", service, attempts = 2, timeoutMs = 3_000)
        val catalog = Catalog(version = 1, listOf(queue), listOf(ServiceTerms(service)))
        private val step = StepDescription(count = 1, demand = Resources(1_000, 1_000))
        private val job = JobDescription("payload", listOf(step))
    }
}
