package org.auburnstream.dispatch.log

/**
 * Returns [line] cut to at most [maxBytes] of UTF-8, its line break included.
 *
 * A line that was cut closes an open quote and ends with `cut_chars=` and the number of characters that are missing.
 * Nothing is cut within an escape or a character. [maxBytes] is at least 64.
 */
internal fun cutLine(line: String, maxBytes: Int): String {
    if (line.length <= maxBytes / MAX_CHAR_BYTES || line.toByteArray().size <= maxBytes) return line
    val text = line.removeSuffix("\n")
    val room = maxBytes - MARK_BYTES
    var bytes = 0
    var end = 0
    var isQuoted = false
    var wasQuoted = false
    var i = 0
    while (i < text.length) {
        val next = i + unitLength(text, i)
        bytes += text.substring(i, next).toByteArray().size
        if (bytes > room) break
        if (text[i] == '"') isQuoted = !isQuoted
        wasQuoted = isQuoted
        end = next
        i = next
    }
    val quote = if (wasQuoted) "\"" else ""
    return "${text.substring(0, end)}$quote cut_chars=${text.length - end}\n"
}

/** Length in characters of the escape, surrogate pair or single character at [at]. */
private fun unitLength(text: String, at: Int): Int = when {
    at + 1 == text.length -> 1
    text[at] == '\\' && text[at + 1] == 'u' -> minOf(UNICODE_ESCAPE_CHARS, text.length - at)
    text[at] == '\\' -> 2
    text[at].isHighSurrogate() -> 2
    else -> 1
}

private const val MAX_CHAR_BYTES = 3

/** Room for a quote, the mark and its number, and the line break. */
private const val MARK_BYTES = 32
private const val UNICODE_ESCAPE_CHARS = 6
