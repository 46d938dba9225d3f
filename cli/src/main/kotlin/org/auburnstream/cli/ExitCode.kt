package org.auburnstream.cli

import org.auburnstream.api.ApiErrorType

/**
 * Exit codes of `auburnctl`.
 *
 * @property code value given to the shell.
 * @property meaning one line for the help text.
 */
public enum class ExitCode(public val code: Int, public val meaning: String) {
    /** The command did what it was asked. */
    OK(code = 0, meaning = "done"),

    /** The program or the daemon failed in an unforeseen way. */
    INTERNAL(code = 1, meaning = "unforeseen failure of auburnctl or of the daemon"),

    /** The command line is wrong. */
    USAGE(code = 2, meaning = "wrong command line; nothing was sent"),

    /** The daemon refused the request. */
    REFUSED(code = 3, meaning = "refused: invalid value, broken rule or budget at risk; nothing was changed"),

    /** Another operator's change was accepted first. */
    CONFLICT(code = 4, meaning = "another change was accepted first; nothing was changed"),

    /** No daemon could do it now. */
    UNAVAILABLE(code = 5, meaning = "no daemon could be reached or none has a quorum; nothing was changed"),

    /** The answer was lost. */
    UNKNOWN(code = 6, meaning = "the answer was lost; send the same operation again to learn the outcome"),

    /** The token is missing or unknown. */
    UNAUTHORIZED(code = 7, meaning = "token missing or unknown"),

    /** The change is accepted, but the wait for it to be in force ended first. */
    NOT_IN_FORCE(code = 8, meaning = "accepted, but not yet in force everywhere when the wait ended"),
    ;

    public companion object {
        /** Returns the exit code for an error of the daemon. */
        public fun of(type: ApiErrorType?): ExitCode = when (type) {
            ApiErrorType.UNAUTHORIZED -> UNAUTHORIZED
            ApiErrorType.VERSION_CONFLICT, ApiErrorType.VERSION_UNKNOWN -> CONFLICT
            ApiErrorType.UNAVAILABLE -> UNAVAILABLE
            ApiErrorType.OUTCOME_UNKNOWN -> UNKNOWN
            ApiErrorType.INTERNAL, null -> INTERNAL
            else -> REFUSED
        }
    }
}
