package org.auburnstream.testkit.architecture

/** A construct that decision modules must not use, with the reason. */
internal class SourceRule(val reason: String, pattern: String) {
    private val regex = Regex(pattern)

    fun findIn(code: String): List<String> = regex.findAll(code).map { it.value }.toList()
}

/** What no decision module may use. */
internal val decisionRules = listOf(
    SourceRule("opens no socket", """\b(io\.ktor|java\.net|javax\.net)\b"""),
    SourceRule("touches no file", """\bjava\.(io|nio)\b|\bjavax\.imageio\b|\bkotlin\.io\.path\b"""),
    SourceRule("starts no coroutine", """\bkotlinx\.coroutines\b"""),
    SourceRule("starts no thread", """\bThread\b|\bthread\s*[({]|\bjava\.util\.concurrent\b|\bkotlin\.concurrent\b"""),
    SourceRule("starts no process", """\bProcessBuilder\b|\bRuntime\.getRuntime\b"""),
    SourceRule(
        "reads no clock",
        """\bcurrentTimeMillis\b|\bnanoTime\b|\bClock\.System\b|\bInstant\.now\b|\bTimeSource\b|\bjava\.time\b""",
    ),
    SourceRule("reads no clock", """\bmeasureTime\w*\b|\bjava\.util\.(Date|Calendar|Timer)\b"""),
    SourceRule(
        "draws no unseeded random number",
        """\bRandom\.(Default|next\w*)\b|\bRandom\s*\(\s*\)|\bMath\.random\b|\bThreadLocalRandom\b|\bSecureRandom\b""",
    ),
    SourceRule(
        "draws no unseeded random number",
        """\bUUID\.randomUUID\b|\bUuid\.random\b|\.(shuffled|shuffle|random)\(\)""",
    ),
    SourceRule("depends on no identity", """\bidentityHashCode\b"""),
)

/** Returns [source] without comments and plain strings, so that prose cannot break a rule. */
internal fun codeOf(source: String): String = commentOrString.replace(source) { match ->
    // A template may hold code.
    match.value.takeIf { it.startsWith('"') && "\${" in it } ?: ""
}

private val commentOrString = Regex("/\\*[\\s\\S]*?\\*/|//[^\\n]*|\"\"\"[\\s\\S]*?\"\"\"|\"(?:\\\\.|[^\"\\\\\\n])*\"")
