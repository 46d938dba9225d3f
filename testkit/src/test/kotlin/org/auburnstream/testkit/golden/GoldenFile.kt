package org.auburnstream.testkit.golden

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createParentDirectories
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertEquals

/** Root of the workspace. */
internal val workspace: Path =
    generateSequence(Path.of("").toAbsolutePath()) { it.parent }.first { Files.exists(it.resolve("KNOWN-RED.txt")) }

/**
 * Compares what a test produced with a file under review.
 *
 * The file is rewritten only by `-Dgolden.update=true`; a rewritten file is reviewed as a change of behaviour.
 */
internal object GoldenFile {
    private val update = System.getProperty("golden.update") == "true"

    /** Compares [actual] with the whole of [file], a path below the workspace. */
    fun assertMatches(file: String, actual: String) {
        val path = workspace.resolve(file)
        if (update) path.createParentDirectories().writeText(actual)
        assertEquals(if (path.exists()) path.readText() else "", actual, explain(file))
    }

    /** Compares [actual] with the part of [file] between the comments `begin` and `end` of [section]. */
    fun assertSectionMatches(file: String, section: String, actual: String) {
        val path = workspace.resolve(file)
        val text = path.readText()
        val begin = text.indexOf("<!-- begin $section -->\n") + "<!-- begin $section -->\n".length
        val end = text.indexOf("<!-- end $section -->")
        if (update) path.writeText(text.replaceRange(begin, end, actual))
        assertEquals(if (update) actual else text.substring(begin, end), actual, explain("$file, section $section"))
    }

    private fun explain(what: String): String =
        "$what differs; if the change is wanted, run 'mvn -pl testkit -am test -Dgolden.update=true' and review it"
}
