package org.auburnstream.cli.settings

import org.auburnstream.api.ApiJson
import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.ChangeAnswer
import org.auburnstream.api.ChangeRequest
import org.auburnstream.api.EditRequest
import org.auburnstream.api.PreviewRequest
import org.auburnstream.api.PreviewView
import org.auburnstream.api.RollOutView
import org.auburnstream.api.SettingsView
import org.auburnstream.api.WaitFor
import org.auburnstream.cli.CallResult
import org.auburnstream.cli.ChangingCommand
import org.auburnstream.cli.CliProblem
import org.auburnstream.cli.CommandResult
import org.auburnstream.cli.ExitCode
import org.auburnstream.cli.Session
import org.auburnstream.cli.Table
import org.auburnstream.cli.print
import org.auburnstream.cli.then
import org.kohsuke.args4j.Option
import kotlin.time.Duration.Companion.seconds

/** Common part of the commands that change settings. */
internal abstract class SettingsChange : ChangingCommand() {
    @Option(
        name = "--expect-version",
        metaVar = "VERSION",
        usage = "Version that the change is based on. Without it, the present version is read first.",
    )
    var expectedVersion: Long? = null

    @Option(name = "--wait", metaVar = "STAGE", usage = "Stage to wait for: accepted or in-force.")
    var wait: String = ACCEPTED

    @Option(name = "--wait-timeout", metaVar = "SECONDS", usage = "Longest wait for the change to be in force.")
    var waitSeconds: Int = DEFAULT_WAIT_SECONDS

    @Option(name = "--dry-run", usage = "Print which effective values would change, and change nothing.")
    var dryRun: Boolean = false

    @Option(name = "--file", metaVar = "FILE", usage = "JSON file with the edits, instead of arguments.")
    var file: String? = null

    protected abstract fun edits(): EditArguments

    override suspend fun run(session: Session): CommandResult {
        val arguments = file?.let { EditArguments.file(session, it) } ?: edits()
        val edits =
            when (arguments) {
                is EditArguments.Edits -> arguments.edits
                is EditArguments.Wrong -> return CommandResult.Failure(arguments.problem)
            }
        if (dryRun) return preview(session, edits)
        if (wait != ACCEPTED &&
            wait != IN_FORCE
        ) {
            return usage("--wait '$wait' is no stage", "Give accepted or in-force.")
        }
        if (waitSeconds !in 0..timeoutSeconds) {
            return usage("--wait-timeout '$waitSeconds' is out of range", "Give at most --timeout, $timeoutSeconds.")
        }
        return when (val expected = expectedVersion) {
            null -> currentVersion(session).then(SettingsView.serializer()) { change(session, edits, it.version) }
            else -> change(session, edits, expected)
        }
    }

    private suspend fun change(session: Session, edits: List<EditRequest>, expected: Long): CommandResult {
        val id = operationId(session)
        val request =
            ChangeRequest(
                operation = id,
                expectedVersion = expected,
                edits = edits,
                reason = reason,
                wait = if (wait == IN_FORCE) WaitFor.IN_FORCE else WaitFor.ACCEPTED,
                waitMillis = waitSeconds.seconds.inWholeMilliseconds,
            )
        val json = ApiJson.encodeToString(ChangeRequest.serializer(), request)
        return session.client
            .post(ApiRoutes.SETTING_CHANGES, json, operation = id)
            .print(session, ChangeAnswer.serializer(), exit = ::exitOf, table = ::describe)
    }

    private suspend fun currentVersion(session: Session): CallResult =
        session.client.get(ApiRoutes.SETTINGS, listOf("path" to "/", "key" to "none"))

    private fun exitOf(answer: ChangeAnswer): ExitCode =
        if (answer.rollOut?.inForce == false) ExitCode.NOT_IN_FORCE else ExitCode.OK

    private fun describe(answer: ChangeAnswer): String {
        val accepted =
            "Accepted as version ${answer.version} in ${answer.acceptedMillis} ms; " +
                "${answer.nodes} nodes changed; operation ${answer.operation}."
        return answer.rollOut?.let { "$accepted\n${describe(it)}" } ?: accepted
    }

    private fun describe(rollOut: RollOutView): String {
        val state = if (rollOut.inForce) "In force everywhere after" else "Not yet in force after"
        val holders = rollOut.heldBackBy.joinToString { "${it.daemon} (${it.cause}, ${it.millis} ms)" }
        val held = if (holders.isEmpty()) "" else " Held back by $holders."
        return "$state ${rollOut.millis} ms.$held"
    }

    private fun usage(detail: String, remedy: String): CommandResult =
        CommandResult.Failure(CliProblem.Usage(detail, remedy))

    companion object {
        private const val ACCEPTED = "accepted"
        private const val IN_FORCE = "in-force"
        private const val DEFAULT_WAIT_SECONDS = 10

        /** Asks what [edits] would change. */
        suspend fun preview(session: Session, edits: List<EditRequest>): CommandResult {
            val json = ApiJson.encodeToString(PreviewRequest.serializer(), PreviewRequest(edits))
            return session.client.post(
                ApiRoutes.SETTINGS_PREVIEW,
                json,
            ).print(session, PreviewView.serializer()) { view ->
                val table = Table("PATH", "KEY", "BEFORE", "AFTER")
                view.changes.forEach { table.row(it.path, it.key, it.before, it.after) }
                val more = if (view.truncated) "\n(more values change than are listed)" else ""
                "$table$more\n${view.nodes} nodes would change; the settings are at version ${view.version}."
            }
        }
    }
}
