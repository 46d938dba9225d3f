package org.auburnstream.daemon.operator

import org.auburnstream.model.OperatorId
import org.auburnstream.model.isValidId
import java.security.MessageDigest

/** Tokens of the operators; compares in constant time and keeps digests alone. */
public class TokenTable private constructor(private val entries: List<Entry>) {
    /** Returns whose [token] it is, or null if it is nobody's. */
    public fun authenticate(token: String): OperatorId? {
        val digest = digest(token)
        // Every entry is compared, so that the time taken tells nothing about where a match is.
        return entries.filter { MessageDigest.isEqual(it.digest, digest) }.map { it.operator }.firstOrNull()
    }

    private class Entry(val operator: OperatorId, val digest: ByteArray)

    /** Result of [parse]. */
    public sealed interface Result {
        /** The file is well formed. */
        public class Loaded(public val table: TokenTable) : Result

        /** Line [line], counted from 1, is refused; 0 means the whole file. */
        public data class Refused(val line: Int, val reason: Reason) : Result
    }

    /** Why a token file is refused. */
    public enum class Reason {
        /** The line is not `operator:token`. */
        MALFORMED_LINE,

        /** The token has fewer than [MIN_TOKEN_LENGTH] characters. */
        TOKEN_TOO_SHORT,

        /** The token stands in the file twice. */
        DUPLICATE_TOKEN,

        /** The file holds no token. */
        EMPTY,
    }

    public companion object {
        /** Fewest characters of a token. */
        public const val MIN_TOKEN_LENGTH: Int = 16

        /** Reads a token file: one `operator:token` a line; empty lines and lines that begin with `#` are skipped. */
        public fun parse(text: String): Result {
            val entries = mutableListOf<Entry>()
            val seen = mutableSetOf<String>()
            text.lines().forEachIndexed { index, line ->
                if (line.isBlank() || line.startsWith("#")) return@forEachIndexed
                val operator = line.substringBefore(':', missingDelimiterValue = "").trim()
                val token = line.substringAfter(':', missingDelimiterValue = "").trim()
                val reason =
                    when {
                        !isValidId(operator) -> Reason.MALFORMED_LINE
                        token.length < MIN_TOKEN_LENGTH -> Reason.TOKEN_TOO_SHORT
                        !seen.add(token) -> Reason.DUPLICATE_TOKEN
                        else -> null
                    }
                if (reason != null) return Result.Refused(index + 1, reason)
                entries += Entry(OperatorId(operator), digest(token))
            }
            return if (entries.isEmpty()) Result.Refused(0, Reason.EMPTY) else Result.Loaded(TokenTable(entries))
        }

        private fun digest(token: String): ByteArray =
            MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
    }
}
