package org.auburnstream.daemon.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.auburnstream.api.ApiError
import org.auburnstream.api.ApiJson

/** Response to an operator's request. */
public sealed interface Reply {
    /** The request succeeded; [json] is the body. */
    public data class Success(val json: String) : Reply

    /** The request failed with a typed error. */
    public data class Failure(val error: ApiError) : Reply

    public companion object {
        /** Returns a success whose body is [value] as JSON. */
        public fun <T> of(serializer: KSerializer<T>, value: T): Reply =
            Success(ApiJson.encodeToString(serializer, value))
    }
}

/** Result of parsing a part of a request. */
public sealed interface Parsed<out T> {
    /** The part is well formed. */
    public data class Value<out T>(val value: T) : Parsed<T>

    /** The part is rejected with [error]. */
    public data class Failed(val error: ApiError) : Parsed<Nothing>

    public companion object {
        /** Decodes [json] with [serializer]. */
        public fun <T> json(serializer: KSerializer<T>, json: String): Parsed<T> = try {
            Value(ApiJson.decodeFromString(serializer, json))
        } catch (e: SerializationException) {
            Failed(malformed(e))
        } catch (e: IllegalArgumentException) {
            Failed(malformed(e))
        }

        private fun malformed(e: Exception): ApiError {
            val line = e.message.orEmpty().lineSequence().first()
            return OperatorErrors.malformed("The body is not the expected JSON: $line", "See the interface's messages.")
        }
    }
}

/** Returns the reply of [next] for a parsed value, or a failure with the parse error. */
public suspend fun <T> Parsed<T>.then(next: suspend (T) -> Reply): Reply = when (this) {
    is Parsed.Value -> next(value)
    is Parsed.Failed -> Reply.Failure(error)
}
