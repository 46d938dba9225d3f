package org.auburnstream.dispatch.operators

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.ApiJson
import org.auburnstream.api.schedule.AmountView
import org.auburnstream.api.schedule.CrashView
import org.auburnstream.api.schedule.JobSubmission
import org.auburnstream.api.schedule.QueueView
import org.auburnstream.api.schedule.ScheduleRoutes
import org.auburnstream.api.schedule.ScheduledJobView
import org.auburnstream.api.schedule.StepSubmission
import org.auburnstream.api.schedule.TenantView
import org.auburnstream.api.schedule.UpkeepView
import org.auburnstream.api.schedule.WorkerView
import org.auburnstream.dispatch.ListenerKind
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.JobOwner
import org.auburnstream.scheduling.KeyDigest
import org.auburnstream.scheduling.Record
import org.auburnstream.scheduling.RunId
import org.auburnstream.scheduling.StepId
import org.auburnstream.scheduling.TaskId
import org.auburnstream.scheduling.TenantName
import org.auburnstream.scheduling.UpkeepEnd
import org.auburnstream.scheduling.WorkerId
import org.auburnstream.scheduling.WorkerIncarnation
import org.auburnstream.scheduling.WorkerProfile
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against operator requests that are applied twice, that are refused without a reason, or that are answered from
 * a state that no quorum has confirmed.
 */
class OperatorRequestsTest {
    private val leader = FakeLeader()
    private val requests = OperatorRequests(nowMs = { leader.nowMs })
    private val submission = JobSubmission("00c0ffee00c0ffee", "plates", "nightly", listOf(StepSubmission(count = 2)))

    @Test
    fun resubmittedJobIsAcceptedOnceAndCanBeCancelled() {
        repeat(2) { assertEquals(200, submit(submission).status) }
        leader.nowMs += 700

        val job = read(ScheduleRoutes.JOBS, ListSerializer(ScheduledJobView.serializer())).single()
        assertEquals(
            ScheduledJobView("00c0ffee00c0ffee", "plates", "active", ageMillis = 700, tasks = 2, tasksDone = 0),
            job,
        )
        assertEquals(200, send("POST", "${ScheduleRoutes.JOBS}/${job.id}/cancel").status)
        assertEquals(
            "cancelled",
            read("${ScheduleRoutes.JOBS}/${job.id}", ScheduledJobView.serializer()).phase,
        )
    }

    @Test
    fun jobsAreListedByQueue() {
        submit(submission)
        submit(submission.copy(id = "00c0ffee00c0fff0", queue = "proofs"))

        val jobs = read("${ScheduleRoutes.JOBS}?queue=proofs", ListSerializer(ScheduledJobView.serializer()))
        val queues = read(ScheduleRoutes.QUEUES, ListSerializer(QueueView.serializer()))
        assertEquals(listOf("00c0ffee00c0fff0"), jobs.map { it.id })
        assertEquals(mapOf("plates" to 1, "proofs" to 1), queues.associate { it.name to it.waiting })
    }

    @Test
    fun workersAndWavesAreListed() {
        val profile = WorkerProfile(
            incarnation = WorkerIncarnation(WorkerId("w"), 1),
            service = FakeLeader.SERVICE,
            address = "w:1",
            dataCentre = DataCentreId("a"),
            vm = VmId("vm-1"),
            capacity = Resources(16_000, 32_000),
        )
        leader.offer({ Event.WorkerReported(it, profile, 1, isLeaving = false, clockMs = 5) }) { }
        leader.offer({ Event.WaveSubmitted(it, 7, listOf(VmId("vm-1"), VmId("vm-2")), 30.seconds, cap = 1) }) { }

        val worker = read(ScheduleRoutes.WORKERS, ListSerializer(WorkerView.serializer())).single()
        val wave = read(ScheduleRoutes.WAVES, ListSerializer(UpkeepView.serializer())).single()
        assertEquals("w/1" to 16_000L, worker.worker to worker.millicores)
        val accepted = UpkeepView(7, vms = 2, begun = 0, ended = 0, cap = 1, dueInMillis = 30_000, complete = false)
        assertEquals(accepted, wave)
    }

    @Test
    fun aVmThatIsUnknownOrDownLooksLikeOneThatIsMaintained() {
        val vms = listOf(VmId("vm-unknown"), VmId("vm-down"))
        leader.offer({ Event.WaveSubmitted(it, 7, vms, 30.seconds, cap = 2) }) { }
        val records = vms.map { Record.UpkeepBegun(7, it, workerStartedMs = 0) } +
            Record.UpkeepEnded(7, vms[0], UpkeepEnd.UNKNOWN_VM) + Record.UpkeepRefused(7, vms[1])
        leader.apply(*records.toTypedArray())

        val wave = read(ScheduleRoutes.WAVES, ListSerializer(UpkeepView.serializer())).single()
        assertEquals(listOf(1, 1, 1), listOf(wave.ended, wave.unknown, wave.refused))
    }

    /** A claim of a cancelled job still occupies its worker, and a tenant that was removed still has runs. */
    @Test
    fun tenantsAreListedWithWhatTheyOccupy() {
        val job = submission.copy(tenant = "press", steps = listOf(StepSubmission(count = 3, millicores = 500)))
        submit(job)
        submit(job.copy(id = "00c0ffee00c0fff0"))
        val incarnation = WorkerIncarnation(WorkerId("w"), 1)
        val address = "w:1"
        val profile =
            WorkerProfile(incarnation, FakeLeader.SERVICE, address, DataCentreId("a"), null, Resources(16_000))
        val accepted = leader.state.active.getValue(JobId(job.id))
        val owner = JobOwner(TenantName("gone"), isExcess = true)
        val claims = List(2) { RunId(TaskId(StepId(accepted.id, 0, 0), it), 1) }
        leader.apply(
            Record.WorkerRegistered(profile, leaving = false),
            Record.JobAccepted(JobId("00c0ffee00c0fff1"), accepted.queue, accepted.description, owner),
            Record.RunClaimed(claims[0], incarnation),
            Record.RunClaimed(claims[1], incarnation),
            Record.JobCancelled(accepted.id),
        )

        val none = AmountView()
        val expected = listOf(
            TenantView("gone", null, null, none, runs = 0, waiting = 1, active = 1, excess = 1),
            TenantView("press", 2.5, AmountView(8_000, 4_096), AmountView(1_000), runs = 2, waiting = 1, 1, excess = 0),
        )
        assertEquals(expected, read(ScheduleRoutes.TENANTS, ListSerializer(TenantView.serializer())))
        val jobs = read(ScheduleRoutes.JOBS, ListSerializer(ScheduledJobView.serializer()))
        assertEquals(mapOf<String?, Int>("gone" to 1, "press" to 2), jobs.groupingBy { it.tenant }.eachCount())
        for (path in listOf(ScheduleRoutes.TENANTS, ScheduleRoutes.JOBS, ScheduleRoutes.QUEUES)) {
            val text = send("GET", path).body.decodeToString()
            for (secret in listOf(FakeLeader.KEY, KeyDigest.of(FakeLeader.KEY).value.take(6))) {
                assertFalse(secret in text)
            }
        }
    }

    @Test
    fun crashesUnderAJobAreListed() {
        submit(submission)
        val incarnation = WorkerIncarnation(WorkerId("w"), 1)
        val profile =
            WorkerProfile(incarnation, FakeLeader.SERVICE, "w:1", DataCentreId("a"), null, Resources(16_000))
        val run = RunId(TaskId(StepId(JobId(submission.id), 0, 0), 1), 1)
        leader.apply(Record.WorkerRegistered(profile, leaving = false), Record.RunClaimed(run, incarnation))
        leader.apply(Record.WorkerEnded(incarnation))

        val job = read("${ScheduleRoutes.JOBS}/${submission.id}", ScheduledJobView.serializer())
        assertEquals(listOf(CrashView(run.toString(), "at_start")), job.crashes)
    }

    @Test
    fun invalidRequestsAreRefusedWithReason() {
        val invalidJobs = listOf(
            submission.copy(id = "x") to "the id 'x' is not 16 hex digits",
            submission.copy(queue = "none") to "there is no queue 'none'",
            submission.copy(tenant = "none") to "there is no tenant 'none'",
            submission.copy(steps = listOf(StepSubmission(count = 0))) to "step 0 has 0 tasks; give it 1 to 10000",
            submission.copy(steps = listOf(StepSubmission(dependsOn = listOf(0)))) to "step 0 depends on step 0",
        )
        for ((job, detail) in invalidJobs) {
            val error = errorOf(submit(job))
            assertEquals(ApiErrorType.MALFORMED_REQUEST, ApiErrorType.ofUri(error.type))
            assertContains(error.detail, detail)
        }
        assertEquals(400, send("POST", ScheduleRoutes.JOBS, "{").status)
        assertEquals(400, send("POST", ScheduleRoutes.JOBS, byteArrayOf(-1, -2)).status)
        assertEquals(404, send("POST", "${ScheduleRoutes.JOBS}/00c0ffee00c0ffee/cancel").status)
        assertEquals(404, send("GET", "/v1/schedule/nothing").status)
        assertEquals(404, send("GET", "${ScheduleRoutes.JOBS}/a/b/c").status)
        assertEquals(emptyMap(), leader.state.jobs)
    }

    @Test
    fun unconfirmedStateIsNotUsedForAnswers() {
        submit(submission)
        leader.isConfirmed = false

        assertNull(answer("GET", ScheduleRoutes.JOBS))
        assertNull(answer("GET", "${ScheduleRoutes.JOBS}/${submission.id}"))
        assertNull(answer("POST", "${ScheduleRoutes.JOBS}/00c0ffee00c0fff1/cancel"))
    }

    @Test
    fun missingLeaderAndLostAnswerHaveDistinctErrors() {
        val request = HttpRequest("GET", ScheduleRoutes.JOBS)
        val none = requests.noLeader(ListenerKind.OPERATORS, request)
        val lost = requests.unknown(ListenerKind.OPERATORS, request)

        assertEquals(ApiErrorType.UNAVAILABLE, ApiErrorType.ofUri(errorOf(none).type))
        assertEquals("1", none.headers["retry-after"])
        assertEquals(ApiErrorType.OUTCOME_UNKNOWN, ApiErrorType.ofUri(errorOf(lost).type))
        assertEquals(ApiErrorType.UNAUTHORIZED, ApiErrorType.ofUri(errorOf(OperatorRequests.unauthorized()).type))
    }

    private fun submit(job: JobSubmission): HttpResponse =
        send("POST", ScheduleRoutes.JOBS, ApiJson.encodeToString(JobSubmission.serializer(), job))

    private fun send(method: String, target: String, body: String = ""): HttpResponse =
        send(method, target, body.encodeToByteArray())

    private fun send(method: String, target: String, body: ByteArray): HttpResponse =
        checkNotNull(answer(method, target, body))

    private fun answer(method: String, target: String, body: ByteArray = ByteArray(0)): HttpResponse? {
        val answers = ArrayList<HttpResponse?>()
        val request = HttpRequest(method, target, body = body)
        requests.handle(ListenerKind.OPERATORS, request, leader) { answers.add(it) }
        return answers.single()
    }

    private fun <T> read(target: String, serializer: KSerializer<T>): T {
        val response = send("GET", target)
        assertEquals(200, response.status)
        return ApiJson.decodeFromString(serializer, response.body.decodeToString())
    }

    private fun errorOf(response: HttpResponse): ApiError =
        ApiJson.decodeFromString(ApiError.serializer(), response.body.decodeToString())
}
