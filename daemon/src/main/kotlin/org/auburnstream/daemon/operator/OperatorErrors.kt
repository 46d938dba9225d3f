package org.auburnstream.daemon.operator

import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.AuthorView
import org.auburnstream.api.ConflictView
import org.auburnstream.api.ProblemView
import org.auburnstream.control.ChangeAuthor
import org.auburnstream.control.ControlResult
import org.auburnstream.control.OperationProblem
import org.auburnstream.control.SettingProblem
import org.auburnstream.daemon.replication.RejectReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Builds the typed error responses of the operators' API. */
internal object OperatorErrors {
    private val RETRY_AFTER: Duration = 1.seconds

    fun of(
        type: ApiErrorType,
        detail: String,
        remedy: String,
        problems: List<ProblemView> = emptyList(),
        conflict: ConflictView? = null,
        retryAfter: Duration? = null,
    ): ApiError = ApiError(
        type = type.uri,
        title = type.title,
        status = type.status,
        detail = detail,
        remedy = remedy,
        problems = problems,
        conflict = conflict,
        retryAfterMillis = retryAfter?.inWholeMilliseconds,
    )

    fun malformed(detail: String, remedy: String): ApiError = of(ApiErrorType.MALFORMED_REQUEST, detail, remedy)

    fun unavailable(reason: RejectReason): ApiError {
        val detail =
            when (reason) {
                RejectReason.NO_LEADER -> "No quorum of the control group confirmed a leader in time; nothing was done."
                RejectReason.OVERLOADED -> "Too many proposals are in progress; nothing was done."
                RejectReason.TOO_LARGE -> "The change exceeds the largest entry of the log; nothing was done."
                RejectReason.STOPPED -> "The replica is stopping or failed; nothing was done."
                RejectReason.NOT_LEADING -> "The leader that decided this has lost its term; nothing was done."
            }
        val remedy =
            when (reason) {
                RejectReason.TOO_LARGE -> "Split the change into smaller ones."
                else -> "Send the request again, also to another daemon; see 'auburnctl status'."
            }
        return of(ApiErrorType.UNAVAILABLE, detail, remedy, retryAfter = RETRY_AFTER)
    }

    fun commandUnreadable(): ApiError = of(
        type = ApiErrorType.UNAVAILABLE,
        detail = "Members of the group run a version that cannot read this command; nothing was done.",
        remedy = "Bring every daemon to the same version, then send the request again.",
        retryAfter = RETRY_AFTER,
    )

    fun outcomeUnknown(operation: String): ApiError = of(
        type = ApiErrorType.OUTCOME_UNKNOWN,
        detail = "The group's answer to operation $operation was lost; the change may have been accepted.",
        remedy = "Send the same request with the same operation id again; it is run at most once.",
        retryAfter = RETRY_AFTER,
    )

    fun of(operation: String, problem: OperationProblem): ApiError = when (problem) {
        OperationProblem.MalformedId ->
            of(
                type = ApiErrorType.OPERATION_INVALID,
                detail = "Operation id '$operation' has the wrong form.",
                remedy = "Use <milliseconds since 1970>-<16 hex digits>; auburnctl makes one by itself.",
            )
        is OperationProblem.Expired ->
            of(
                type = ApiErrorType.OPERATION_EXPIRED,
                detail =
                "Operation $operation was created at ${problem.created}; answers from before ${problem.oldest} " +
                    "may be forgotten.",
                remedy = "Look it up in 'auburnctl settings history' before making the change anew.",
            )
        is OperationProblem.CreatedInFuture ->
            of(
                type = ApiErrorType.OPERATION_INVALID,
                detail = "Operation $operation was created at ${problem.created}, but the daemon has ${problem.now}.",
                remedy = "Set the clocks of this machine and of the daemon right.",
            )
        OperationProblem.ContentDiffers ->
            of(
                type = ApiErrorType.OPERATION_REUSED,
                detail = "Operation $operation was sent before by another operator or with other content.",
                remedy = "Use a new operation id for a new change.",
            )
        is OperationProblem.TableFull ->
            of(
                type = ApiErrorType.UNAVAILABLE,
                detail = "The group remembers as many operations as it can; nothing was done.",
                remedy = "Send the request again later.",
                retryAfter = problem.retryAfter,
            )
    }

    /** Returns the error for [result], or null if the change was accepted. */
    fun of(result: ControlResult): ApiError? = when (result) {
        is ControlResult.Changed -> null
        is ControlResult.Invalid -> invalid(ApiErrorType.INVALID_CHANGE, result.problems)
        is ControlResult.BackupInvalid -> invalid(ApiErrorType.BACKUP_INVALID, result.problems)
        is ControlResult.Conflict -> conflict(result)
        is ControlResult.VersionUnknown ->
            of(
                type = ApiErrorType.VERSION_UNKNOWN,
                detail = "Version ${result.expected} was expected, but the settings are at ${result.current}.",
                remedy = "Read the settings of this group anew; the group may have been restored from a backup.",
            )
        is ControlResult.BudgetAtRisk ->
            of(
                type = ApiErrorType.BUDGET_AT_RISK,
                detail =
                "At ${result.risk.path}, ${result.risk.unavailable} of the VMs are unavailable, " +
                    "and the change would allow ${result.risk.budget}.",
                remedy = "Wait until VMs are back, or choose a budget that covers them.",
            )
        is ControlResult.RestoreRefused ->
            of(
                type = ApiErrorType.RESTORE_REFUSED,
                detail =
                "The group has accepted changes up to version ${result.current}; the backup holds " +
                    "version ${result.backup}.",
                remedy = "Use 'auburnctl restore --as-change' to make the difference a new change.",
            )
    }

    fun invalid(type: ApiErrorType, problems: List<SettingProblem>): ApiError {
        val views = problems.map(SettingProblems::view)
        val more = if (views.size > 1) " (and ${views.size - 1} more)" else ""
        return of(type, detail = views.first().detail + more, remedy = SettingProblems.remedy(problems.first()), views)
    }

    private fun conflict(result: ControlResult.Conflict): ApiError {
        val winner = result.winner?.let(::view)
        val winnerText = winner?.let { "${it.operator} made version ${it.version} with operation ${it.operation}" }
        return of(
            type = ApiErrorType.VERSION_CONFLICT,
            detail =
            "Version ${result.expected} was expected, but the settings are at ${result.current}: " +
                (winnerText ?: "the change that won is no longer in the history") + ".",
            remedy = "Read the settings again and decide whether the change still fits.",
            conflict = ConflictView(result.expected.value, result.current.value, winner),
        )
    }

    private fun view(author: ChangeAuthor): AuthorView =
        AuthorView(author.operation.value, author.operator.value, author.version.value)
}
