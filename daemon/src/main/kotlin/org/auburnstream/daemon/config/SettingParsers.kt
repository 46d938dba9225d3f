package org.auburnstream.daemon.config

import org.auburnstream.daemon.peer.PeerAddress
import org.auburnstream.model.DaemonId
import org.auburnstream.model.isValidId
import java.nio.file.InvalidPathException
import java.nio.file.Path
import kotlin.time.Duration

private const val IPV4_OCTETS = 4
private const val MAX_IPV4_OCTET = 255
private const val MAX_PORT = 65_535

/** Allowed ports of a listener; 0 lets the system select a free port. */
internal val portRange = 0..MAX_PORT

/** Returns a parser that validates an id and converts it by [construct]. */
internal fun <T> idParser(construct: (String) -> T): ValueParser<T> = { text ->
    text.takeIf(::isValidId)?.let(construct)
}

internal fun intParser(range: IntRange): ValueParser<Int> = { text -> text.toIntOrNull()?.takeIf { it in range } }

internal fun durationParser(range: ClosedRange<Duration>): ValueParser<Duration> = { text ->
    Duration.parseOrNull(text)?.takeIf { it in range }
}

/** Returns a parser of comma-separated lists without duplicates; an empty text is the empty list. */
internal fun <T> listParser(element: ValueParser<T>): ValueParser<List<T>> = { text ->
    val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    val values = parts.mapNotNull(element)
    values.takeIf { it.size == parts.size && it.distinct().size == it.size }
}

internal fun parseAddress(text: String): String? = text.takeIf(::isIpAddress)

internal fun parsePath(text: String): Path? = try {
    text.takeIf { it.isNotBlank() }?.let { Path.of(it) }
} catch (_: InvalidPathException) {
    null
}

/** Parses `id=address:port`; an IPv6 address is enclosed in square brackets. */
internal fun parsePeer(text: String): PeerAddress? {
    val id = text.substringBefore('=', "").takeIf(::isValidId) ?: return null
    val endpoint = text.substringAfter('=')
    val address = endpoint.substringBeforeLast(':', "").removePrefix("[").removeSuffix("]")
    val port = endpoint.substringAfterLast(':').toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
    return PeerAddress(DaemonId(id), parseAddress(address) ?: return null, port)
}

internal fun parseLogLevel(text: String): LogLevel? = LogLevel.entries.find { it.name.lowercase() == text }

internal fun parseTraceExport(text: String): TraceExport? = when (text) {
    "off" -> TraceExport.Off
    "log" -> TraceExport.Log
    else -> text.takeIf { '/' in it }?.let(::parsePath)?.let(TraceExport::ToFile)
}

private fun isIpAddress(text: String): Boolean = isIpv4(text) || isIpv6(text)

private fun isIpv4(text: String): Boolean {
    val parts = text.split('.')
    return parts.size == IPV4_OCTETS &&
        parts.all { part -> part.toIntOrNull()?.let { it in 0..MAX_IPV4_OCTET } == true }
}

private fun isIpv6(text: String): Boolean = text.count { it == ':' } >= 2 &&
    text.all { it.isDigit() || it in 'a'..'f' || it in 'A'..'F' || it == ':' || it == '.' }
