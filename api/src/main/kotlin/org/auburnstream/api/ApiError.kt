package org.auburnstream.api

import kotlinx.serialization.Serializable

/**
 * Typed error of the operators' interface, as problem details of RFC 9457.
 *
 * @property type stable identifier of the kind of error, one of [ApiErrorType.uri].
 * @property title short text of the kind of error.
 * @property status HTTP status.
 * @property detail what went wrong this time: the offending value and its position.
 * @property remedy what the operator can do.
 * @property problems one entry for each offending value, if there are several.
 * @property conflict the change that won, for [ApiErrorType.VERSION_CONFLICT].
 * @property retryAfterMillis when to try again, if trying again can help.
 */
@Serializable
public data class ApiError(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val remedy: String,
    val problems: List<ProblemView> = emptyList(),
    val conflict: ConflictView? = null,
    val retryAfterMillis: Long? = null,
)

/** One offending value. */
@Serializable
public data class ProblemView(val code: String, val path: String? = null, val key: String? = null, val detail: String)

/** The change that won against one with the same expected version. */
@Serializable
public data class ConflictView(val expectedVersion: Long, val currentVersion: Long, val winner: AuthorView?)

/** Who made a change. */
@Serializable
public data class AuthorView(val operation: String, val operator: String, val version: Long)

/**
 * Kinds of [ApiError].
 *
 * @property status HTTP status that goes with the kind.
 * @property title short text.
 */
public enum class ApiErrorType(public val status: Int, public val title: String) {
    /** The token is missing or unknown. */
    UNAUTHORIZED(status = 401, title = "The token is missing or unknown"),

    /** The request cannot be read. */
    MALFORMED_REQUEST(status = 400, title = "The request cannot be read"),

    /** The body exceeds its limit. */
    BODY_TOO_LARGE(status = 413, title = "The body exceeds its limit"),

    /** Nothing is served at this path. */
    NOT_FOUND(status = 404, title = "Nothing is served at this path"),

    /** The change breaks a rule at one node or more. */
    INVALID_CHANGE(status = 422, title = "The change is not valid at every node it reaches"),

    /** Another change was accepted first. */
    VERSION_CONFLICT(status = 409, title = "Another change was accepted first"),

    /** The expected version does not exist. */
    VERSION_UNKNOWN(status = 409, title = "The expected version does not exist"),

    /** The change could break an availability budget. */
    BUDGET_AT_RISK(status = 409, title = "The change could break an availability budget"),

    /** The operation id cannot be used. */
    OPERATION_INVALID(status = 422, title = "The operation id cannot be used"),

    /** The operation id is too old to tell whether it was run. */
    OPERATION_EXPIRED(status = 410, title = "The operation id is too old"),

    /** The operation id was used for something else. */
    OPERATION_REUSED(status = 409, title = "The operation id was used for something else"),

    /** A restore would revert accepted changes. */
    RESTORE_REFUSED(status = 409, title = "The restore would revert accepted changes"),

    /** The backup is damaged or from another version of the software. */
    BACKUP_INVALID(status = 422, title = "The backup cannot be restored"),

    /** The change of members is not possible now. */
    MEMBERSHIP_REFUSED(status = 409, title = "The change of members is refused"),

    /** The group has no leader, or too much to do; nothing was done. */
    UNAVAILABLE(status = 503, title = "The control group cannot answer now"),

    /** The answer of the group was lost; the change may have been accepted. */
    OUTCOME_UNKNOWN(status = 504, title = "The outcome is unknown"),

    /** A fault of the daemon. */
    INTERNAL(status = 500, title = "The daemon failed to answer"),
    ;

    /** Stable identifier of the kind. */
    public val uri: String get() = URI_PREFIX + name.lowercase().replace('_', '-')

    public companion object {
        private const val URI_PREFIX = "urn:auburnstream:error:"

        /** Returns the kind with this [ApiErrorType.uri], or null. */
        public fun ofUri(uri: String): ApiErrorType? = entries.find { it.uri == uri }
    }
}
