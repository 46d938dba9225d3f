package org.auburnstream.cli.schedule

import kotlinx.serialization.SerializationException
import org.auburnstream.api.ApiJson
import org.auburnstream.api.schedule.JobReceipt
import org.auburnstream.api.schedule.JobSubmission
import org.auburnstream.api.schedule.ScheduleRoutes
import org.auburnstream.api.schedule.StepSubmission
import org.auburnstream.cli.CliProblem
import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.Session
import org.auburnstream.cli.print
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Hands in a job. */
internal class ScheduledJobSubmit : Command() {
    @Argument(metaVar = "QUEUE", required = true, usage = "Queue of the job.")
    var queue: String = ""

    @Option(
        name = "--id",
        metaVar = "ID",
        usage = "16 hex digits; repeat the id of a run whose answer was lost. Without it, a new one is made.",
    )
    var id: String? = null

    @Option(
        name = "--file",
        metaVar = "FILE",
        usage = "JSON file with the list of steps, instead of the options below.",
    )
    var file: String? = null

    @Option(name = "--tenant", metaVar = "TENANT", usage = "Tenant that the job belongs to; without it, none.")
    var tenant: String? = null

    @Option(name = "--payload", metaVar = "TEXT", usage = "Text that each task is started with.")
    var payload: String = ""

    @Option(name = "--tasks", metaVar = "COUNT", usage = "Number of tasks.")
    var tasks: Int = 1

    @Option(name = "--millicores", metaVar = "MILLICORES", usage = "Processor time of a task, 1000 for a processor.")
    var millicores: Long = DEFAULT_MILLICORES

    @Option(name = "--memory", metaVar = "MIB", usage = "Memory of a task.")
    var memory: Long = 0

    @Option(name = "--estimate", metaVar = "MS", usage = "Rough duration of a task in milliseconds.")
    var estimate: Long = 0

    @Option(name = "--lasting", usage = "The tasks run until the job is cancelled.")
    var lasting: Boolean = false

    override suspend fun run(session: Session): CommandResult {
        val job = id ?: session.newJobId()
        val steps = when (val path = file) {
            null -> listOf(step())
            else -> readSteps(session, path) ?: return unreadable(path)
        }
        val submission = JobSubmission(job, queue, payload, steps, tenant = tenant)
        val json = ApiJson.encodeToString(JobSubmission.serializer(), submission)
        return session.client.post(ScheduleRoutes.JOBS, json, operation = job)
            .print(session, JobReceipt.serializer()) { "accepted job ${it.id}" }
    }

    private fun step() = StepSubmission(
        count = tasks,
        millicores = millicores,
        memoryMegabytes = memory,
        estimateMillis = estimate,
        lasting = lasting,
    )

    private fun readSteps(session: Session, path: String): List<StepSubmission>? = try {
        session.readFile(path)?.let { ApiJson.decodeFromString<List<StepSubmission>>(it) }
    } catch (_: SerializationException) {
        null
    }

    private fun unreadable(path: String): CommandResult = CommandResult.Failure(
        CliProblem.Usage("--file '$path' holds no list of steps or cannot be read", "Give a JSON list of steps."),
    )

    private companion object {
        const val DEFAULT_MILLICORES = 1_000L
    }
}

/** Cancels a job. */
internal class ScheduledJobCancel : Command() {
    @Argument(metaVar = "JOB", required = true, usage = "Id of the job.")
    var job: String = ""

    override suspend fun run(session: Session): CommandResult =
        session.client.post("${ScheduleRoutes.JOBS}/$job/${ScheduleRoutes.CANCEL}", "", operation = job)
            .print(session, JobReceipt.serializer()) { "cancelled job ${it.id}" }
}
