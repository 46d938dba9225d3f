package org.auburnstream.dispatch.log

/**
 * Returns [line] truncated to at most [maxBytes] bytes of UTF-8, including its line break.
 *
 * A truncated line gets a closing quote if a quoted value was open, and ends with `cut_chars=` and the number of
 * removed characters. Escape sequences and characters are never split. [maxBytes] must be at least 64.
 */
internal fun truncateLine(line: String, maxBytes: Int): String {
    if (line.length <= maxBytes / MAX_CHAR_BYTES || line.toByteArray().size <= maxBytes) return line
    val text = line.removeSuffix("\n")
    val maxTextBytes = maxBytes - SUFFIX_BYTES
    var bytes = 0
    var end = 0
    var isQuoted = false
    var endsInQuotes = false
    var i = 0
    while (i < text.length) {
        val next = i + indivisibleLength(text, i)
        bytes += text.substring(i, next).toByteArray().size
        if (bytes > maxTextBytes) break
        if (text[i] == '"') isQuoted = !isQuoted
        endsInQuotes = isQuoted
        end = next
        i = next
    }
    val quote = if (endsInQuotes) "\"" else ""
    return "${text.substring(0, end)}$quote cut_chars=${text.length - end}\n"
}

/** Returns the length in UTF-16 code units of the escape sequence, surrogate pair or character at index [at]. */
private fun indivisibleLength(text: String, at: Int): Int = when {
    at + 1 == text.length -> 1
    text[at] == '\\' && text[at + 1] == 'u' -> minOf(UNICODE_ESCAPE_CHARS, text.length - at)
    text[at] == '\\' -> 2
    text[at].isHighSurrogate() -> 2
    else -> 1
}

/** Maximum UTF-8 length of one UTF-16 code unit. */
private const val MAX_CHAR_BYTES = 3

/** Bytes reserved for the closing quote, `cut_chars=` with its number, and the line break. */
private const val SUFFIX_BYTES = 32
private const val UNICODE_ESCAPE_CHARS = 6
