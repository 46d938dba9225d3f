package org.auburnstream.daemon.operator

import org.auburnstream.api.ProblemView
import org.auburnstream.control.SettingLevel
import org.auburnstream.control.SettingProblem

/** Builds the descriptions and remedies of rejected setting edits. */
internal object SettingProblems {
    fun view(problem: SettingProblem): ProblemView = when (problem) {
        SettingProblem.EmptyBatch -> ProblemView("empty-batch", detail = "The change holds no edit.")
        is SettingProblem.BatchTooLarge ->
            ProblemView(
                "batch-too-large",
                detail = "The change holds ${problem.size} edits of ${problem.limit} allowed.",
            )
        is SettingProblem.MalformedPath ->
            ProblemView("malformed-path", problem.path, detail = "'${problem.path}' is no path of the tree.")
        is SettingProblem.UnknownKey ->
            ProblemView("unknown-key", problem.path.value, problem.key, "No setting is called '${problem.key}'.")
        is SettingProblem.LevelNotAllowed -> levelNotAllowed(problem)
        is SettingProblem.InvalidValue -> invalidValue(problem)
        is SettingProblem.DuplicateEdit ->
            ProblemView(
                code = "duplicate-edit",
                path = problem.path.value,
                key = problem.key,
                detail = "${problem.key} at ${problem.path} is edited more than once.",
            )
        is SettingProblem.NotOverridden ->
            ProblemView(
                code = "not-overridden",
                path = problem.path.value,
                key = problem.key,
                detail = "${problem.key} is not overridden at ${problem.path}.",
            )
        is SettingProblem.RuleBroken -> ruleBroken(problem)
        is SettingProblem.NodeHasOverrides ->
            ProblemView("node-has-overrides", problem.path.value, detail = "${problem.path} holds overrides.")
        is SettingProblem.TreeTooLarge ->
            ProblemView("tree-too-large", detail = "The tree would have ${problem.size} nodes of ${problem.limit}.")
    }

    fun remedy(problem: SettingProblem): String = when (problem) {
        is SettingProblem.UnknownKey -> "List the keys with 'auburnctl settings keys'."
        is SettingProblem.MalformedPath -> "Write /region/data-centre/pool/service/vm, or a part from the left."
        is SettingProblem.RuleBroken -> "Change the values together, or override one of them at that node."
        is SettingProblem.NodeHasOverrides -> "Unset the overrides first."
        is SettingProblem.InvalidValue -> "Give a value of type ${problem.type} from ${problem.range}."
        is SettingProblem.LevelNotAllowed -> "Set it at a node of a level that the key allows."
        is SettingProblem.BatchTooLarge -> "Split the change."
        is SettingProblem.TreeTooLarge -> "Forget nodes that are no longer in use."
        else -> "Leave that edit out."
    }

    fun name(level: SettingLevel): String = level.name.lowercase().replace('_', '-')

    private fun levelNotAllowed(problem: SettingProblem.LevelNotAllowed): ProblemView = ProblemView(
        code = "level-not-allowed",
        path = problem.path.value,
        key = problem.key,
        detail =
        "${problem.key} cannot be set at ${problem.path}, a node of level ${name(problem.path.level)}; " +
            "allowed: ${problem.levels.joinToString { name(it) }}.",
    )

    private fun invalidValue(problem: SettingProblem.InvalidValue): ProblemView = ProblemView(
        code = "invalid-value",
        path = problem.path.value,
        key = problem.key,
        detail = "'${problem.value}' is not allowed for ${problem.key} at ${problem.path}: ${problem.range}.",
    )

    private fun ruleBroken(problem: SettingProblem.RuleBroken): ProblemView {
        val values = problem.values.joinToString { "${it.key}=${it.value} from ${it.origin ?: "the default"}" }
        return ProblemView(
            code = "rule-broken",
            path = problem.path.value,
            key = problem.values.firstOrNull()?.key,
            detail = "At ${problem.path}, ${problem.explanation}: $values.",
        )
    }
}
