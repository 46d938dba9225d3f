package org.auburnstream.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.auburnstream.api.ApiJson

/** Decodes the answer by [serializer] and continues with it, or fails as the call did. */
public inline fun <T> CallResult.then(serializer: KSerializer<T>, next: (T) -> CommandResult): CommandResult =
    when (this) {
        is CallResult.Failed -> CommandResult.Failure(problem)
        is CallResult.Answer ->
            when (val value = decode(serializer, json)) {
                null -> CommandResult.Failure(CliProblem.MalformedAnswer("the daemon", "The answer cannot be read"))
                else -> next(value)
            }
    }

/** Prints the answer as the daemon gave it, or as the [table] of it, as the session's output format asks. */
public inline fun <T> CallResult.print(
    session: Session,
    serializer: KSerializer<T>,
    exit: (T) -> ExitCode = { ExitCode.OK },
    table: (T) -> String,
): CommandResult = then(serializer) { value ->
    val text =
        when (session.output) {
            OutputFormat.JSON -> ApiJson.encodeToString(serializer, value)
            OutputFormat.TABLE -> table(value)
        }
    CommandResult.Success(text, exit(value))
}

@PublishedApi
internal fun <T> decode(serializer: KSerializer<T>, json: String): T? = try {
    ApiJson.decodeFromString(serializer, json)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
