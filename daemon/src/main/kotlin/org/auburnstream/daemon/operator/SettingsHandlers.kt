package org.auburnstream.daemon.operator

import org.auburnstream.api.ChangeAnswer
import org.auburnstream.api.ChangeRequest
import org.auburnstream.api.HistoryView
import org.auburnstream.api.NodesRequest
import org.auburnstream.api.NodesView
import org.auburnstream.api.PreviewRequest
import org.auburnstream.api.PreviewView
import org.auburnstream.api.SettingKeysView
import org.auburnstream.api.SettingsView
import org.auburnstream.api.WaitFor
import org.auburnstream.control.ControlCommand
import org.auburnstream.control.ControlResult
import org.auburnstream.control.ControlState
import org.auburnstream.control.EditResult
import org.auburnstream.control.SettingEdit
import org.auburnstream.control.SettingsPath
import org.auburnstream.daemon.state.CommandAnswer
import org.auburnstream.daemon.state.CommandBody
import org.auburnstream.daemon.state.ReplicatedCommand
import org.auburnstream.model.LogIndex
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.SettingsVersion
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Handles operators' requests that read, preview or change settings. */
internal class SettingsHandlers(
    private val control: ControlService,
    private val clock: Clock,
    private val timeSource: TimeSource,
) {
    suspend fun get(path: String?, key: String?): Reply = path(path).then { position ->
        read { state ->
            val view = OperatorViews.settings(state, position) {
                key == null || it == key || it.startsWith("$key.")
            }
            Reply.of(SettingsView.serializer(), view)
        }
    }

    fun keys(): Reply = Reply.of(SettingKeysView.serializer(), OperatorViews.keys())

    suspend fun nodes(path: String?): Reply = path(path).then { position ->
        read { Reply.of(NodesView.serializer(), OperatorViews.nodes(it, position)) }
    }

    suspend fun history(path: String?, limit: String?, before: String?): Reply {
        val count = (limit ?: "$DEFAULT_HISTORY").toIntOrNull()?.takeIf { it in 1..MAX_HISTORY }
        val version = before?.toLongOrNull()
        if (count == null) return malformed("limit '$limit' is not allowed.", "Give a number from 1 to $MAX_HISTORY.")
        if (before != null && version == null) return malformed("before '$before' is no version.", "Give a number.")
        return path(path).then { position ->
            read { state ->
                val records = state.history.newest(count, version?.let(::SettingsVersion), position)
                Reply.of(HistoryView.serializer(), OperatorViews.history(state, records))
            }
        }
    }

    suspend fun preview(body: String): Reply = Parsed.json(PreviewRequest.serializer(), body).then { request ->
        EditRequests.parse(request.edits).then { edits ->
            read { state ->
                when (val result = state.preview(edits)) {
                    is EditResult.Edited -> Reply.of(
                        PreviewView.serializer(),
                        OperatorViews.preview(state, result.impact),
                    )
                    is EditResult.Refused -> refusal(ControlResult.Invalid(result.problems))
                }
            }
        }
    }

    suspend fun change(operator: OperatorId, body: String): Reply =
        Parsed.json(ChangeRequest.serializer(), body).then { request ->
            EditRequests.parse(request.edits).then { edits -> change(operator, request, edits) }
        }

    suspend fun changeNodes(operator: OperatorId, body: String): Reply =
        Parsed.json(NodesRequest.serializer(), body).then { request ->
            paths(request.add).then { added ->
                paths(request.remove).then { removed ->
                    val command = ControlCommand.ChangeNodes(added, removed)
                    run(operator, request.operation, command, WaitFor.ACCEPTED, Duration.ZERO)
                }
            }
        }

    /** Proposes [command] under [operation] and returns a [ChangeAnswer] or an error. */
    suspend fun run(
        operator: OperatorId,
        operation: String,
        command: ControlCommand,
        wait: WaitFor,
        timeout: Duration,
    ): Reply {
        val start = timeSource.markNow()
        val entry = ReplicatedCommand(OperationId(operation), operator, clock.now(), CommandBody.Control(command))
        return when (val proposal = control.propose(entry)) {
            is Proposal.NotRun -> Reply.Failure(OperatorErrors.unavailable(proposal.reason))
            Proposal.Unknown -> Reply.Failure(OperatorErrors.outcomeUnknown(operation))
            is Proposal.Answered -> {
                val accepted = start.elapsedNow()
                answer(operation, proposal.answer) { changed ->
                    val rollOut = if (wait == WaitFor.IN_FORCE) control.awaitInForce(proposal.index, timeout) else null
                    ChangeAnswer(
                        operation = operation,
                        version = changed.version.value,
                        nodes = changed.nodes,
                        acceptedMillis = accepted.inWholeMilliseconds,
                        rollOut = rollOut?.let(RollOutViews::of),
                    )
                }
            }
        }
    }

    private suspend fun change(operator: OperatorId, request: ChangeRequest, edits: List<SettingEdit>): Reply {
        val timeout = request.waitMillis.milliseconds
        if (timeout < Duration.ZERO || timeout > MAX_WAIT) {
            return malformed(
                "waitMillis ${request.waitMillis} is not allowed.",
                "Give 0 to ${MAX_WAIT.inWholeMilliseconds}.",
            )
        }
        val command = ControlCommand.ChangeSettings(SettingsVersion(request.expectedVersion), edits, request.reason)
        return run(operator, request.operation, command, request.wait, timeout)
    }

    private suspend fun answer(
        operation: String,
        answer: CommandAnswer,
        success: suspend (ControlResult.Changed) -> ChangeAnswer,
    ): Reply = when (answer) {
        is CommandAnswer.Refused -> Reply.Failure(OperatorErrors.of(operation, answer.problem))
        is CommandAnswer.Control ->
            when (val result = answer.result) {
                is ControlResult.Changed -> Reply.of(ChangeAnswer.serializer(), success(result))
                else -> refusal(result)
            }
        is CommandAnswer.Fleet, CommandAnswer.Daemons, CommandAnswer.Unreadable -> Reply.Failure(
            OperatorErrors.commandUnreadable(),
        )
    }

    private suspend fun read(next: suspend (ControlState) -> Reply): Reply = when (val reading = control.read()) {
        is ReadOutcome.Current -> next(reading.view.control)
        is ReadOutcome.Unavailable -> Reply.Failure(OperatorErrors.unavailable(reading.reason))
    }

    private fun refusal(result: ControlResult): Reply =
        OperatorErrors.of(result)?.let { Reply.Failure(it) } ?: error("$result is no refusal")

    private fun path(text: String?): Parsed<SettingsPath> {
        val path = SettingsPath.parse(text ?: SettingsPath.Root.value)
        return if (path == null) Parsed.Failed(malformedPath(text)) else Parsed.Value(path)
    }

    private fun paths(texts: List<String>): Parsed<List<SettingsPath>> {
        val malformed = texts.firstOrNull { SettingsPath.parse(it) == null }
        return if (malformed ==
            null
        ) {
            Parsed.Value(texts.mapNotNull(SettingsPath::parse))
        } else {
            Parsed.Failed(malformedPath(malformed))
        }
    }

    private fun malformedPath(text: String?) =
        OperatorErrors.malformed("'$text' is no path of the tree.", "Write /region/data-centre/pool/service/vm.")

    private fun malformed(detail: String, remedy: String): Reply =
        Reply.Failure(OperatorErrors.malformed(detail, remedy))

    private companion object {
        const val DEFAULT_HISTORY = 20
        const val MAX_HISTORY = 1_000
        val MAX_WAIT = 1.minutes
    }
}
