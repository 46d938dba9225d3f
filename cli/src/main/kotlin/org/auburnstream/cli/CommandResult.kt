package org.auburnstream.cli

import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiErrorType

/** Result of a command. */
public sealed interface CommandResult {
    /** The command succeeded, or reached what [exit] says; [text] goes to the standard output. */
    public data class Success(val text: String, val exit: ExitCode = ExitCode.OK) : CommandResult

    /** The command failed; [problem] is printed in one line on the standard error. */
    public data class Failure(val problem: CliProblem) : CommandResult
}

/** Why a command failed. */
public sealed interface CliProblem {
    /** Exit code that goes with the problem. */
    public val exit: ExitCode

    /** What went wrong, with the offending value. */
    public val detail: String

    /** What the operator can do. */
    public val remedy: String

    /** The command line is wrong. */
    public data class Usage(override val detail: String, override val remedy: String) : CliProblem {
        override val exit: ExitCode get() = ExitCode.USAGE
    }

    /** The daemon at [daemon] answered with [error]. */
    public data class Refused(val error: ApiError, val daemon: String) : CliProblem {
        override val exit: ExitCode get() = ExitCode.of(ApiErrorType.ofUri(error.type))
        override val detail: String get() = "${error.title}: ${error.detail}"
        override val remedy: String get() = error.remedy
    }

    /** No daemon answered; nothing was sent that could change anything. */
    public data class Unreachable(val attempts: List<String>) : CliProblem {
        override val exit: ExitCode get() = ExitCode.UNAVAILABLE
        override val detail: String get() = "No daemon answered: ${attempts.joinToString("; ")}"
        override val remedy: String get() = "Check --daemon and that the daemons run."
    }

    /** The request was sent, but its answer was lost each time. */
    public data class OutcomeUnknown(val operation: String?, val attempts: List<String>) : CliProblem {
        override val exit: ExitCode get() = ExitCode.UNKNOWN
        override val detail: String get() = "The answer was lost: ${attempts.joinToString("; ")}"
        override val remedy: String
            get() =
                if (operation == null) {
                    "Run the command again."
                } else {
                    "Run the same command with --operation $operation; it is done at most once."
                }
    }

    /** The daemon at [daemon] answered with something that is no message of its interface. */
    public data class MalformedAnswer(val daemon: String, override val detail: String) : CliProblem {
        override val exit: ExitCode get() = ExitCode.INTERNAL
        override val remedy: String get() = "Check that $daemon is the operators' port of a daemon of this version."
    }
}
