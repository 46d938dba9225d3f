package org.auburnstream.daemon.operator

import org.auburnstream.model.OperatorId
import org.auburnstream.model.isValidId
import java.security.MessageDigest

/** Authenticates operators by token. Stores only token digests and compares them in constant time. */
public class TokenTable private constructor(private val entries: List<Entry>) {
    /** Returns the operator that owns [token], or null if the token is unknown. */
    public fun authenticate(token: String): OperatorId? {
        val digest = digest(token)
        // Compares every entry so that the duration doesn't reveal the position of a match.
        return entries.filter { MessageDigest.isEqual(it.digest, digest) }.map { it.operator }.firstOrNull()
    }

    private class Entry(val operator: OperatorId, val digest: ByteArray)

    /** Result of [parse]. */
    public sealed interface Result {
        /** The file is well formed. */
        public class Loaded(public val table: TokenTable) : Result

        /** The file is rejected because of line [line], counted from 1, or as a whole if [line] is 0. */
        public data class Refused(val line: Int, val reason: Reason) : Result
    }

    /** Reason for rejecting a token file. */
    public enum class Reason {
        /** The line is not `operator:token`. */
        MALFORMED_LINE,

        /** The token has fewer than [MIN_TOKEN_LENGTH] characters. */
        TOKEN_TOO_SHORT,

        /** The token appears more than once in the file. */
        DUPLICATE_TOKEN,

        /** The file contains no token. */
        EMPTY,
    }

    public companion object {
        /** Minimum length of a token in characters. */
        public const val MIN_TOKEN_LENGTH: Int = 16

        /** Parses a token file with one `operator:token` per line. Skips blank lines and lines that start with `#`. */
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
