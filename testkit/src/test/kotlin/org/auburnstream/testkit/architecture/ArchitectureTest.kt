package org.auburnstream.testkit.architecture

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.io.path.relativeTo
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ArchitectureTest {
    private val root = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .first { Files.exists(it.resolve("KNOWN-RED.txt")) }

    /** Modules that each module may depend on. */
    private val allowed = mapOf(
        "model" to setOf(),
        "consensus" to setOf("model"),
        "control" to setOf("model"),
        "routing" to setOf("model"),
        "fleet" to setOf("model"),
        "storage" to setOf("model", "consensus"),
        "api" to setOf("model", "control", "fleet"),
        "daemon" to setOf("model", "consensus", "storage", "control", "routing", "fleet", "api"),
        "cli" to setOf("model", "api"),
        "testkit" to setOf("model", "consensus", "storage", "control", "routing", "fleet", "api", "daemon", "cli"),
        "bench" to
            setOf("model", "consensus", "storage", "control", "routing", "fleet", "api", "daemon", "cli", "testkit"),
    )
    private val decisionModules = listOf("model", "consensus", "control", "routing", "fleet")

    @Test
    fun decisionModulesTouchNothingOutside() {
        val violations = decisionModules.flatMap { module ->
            sources(module).flatMap { file ->
                val code = codeOf(file.readText())
                decisionRules.flatMap { rule ->
                    rule.findIn(code).map { "${file.relativeTo(root)}: $it, but a decision module ${rule.reason}" }
                }
            }
        }

        assertEquals("", violations.joinToString("\n"))
    }

    @Test
    fun modulesDependOneWay() {
        val modules = Regex("<module>(\\w+)</module>").findAll(root.resolve("pom.xml").readText()).map {
            it.groupValues[1]
        }
        val violations = modules.flatMap { module ->
            val pom = root.resolve(module).resolve("pom.xml").readText()
            val used = Regex("<artifactId>auburnstream-(\\w+)</artifactId>").findAll(pom).map {
                it.groupValues[1]
            }.toSet()
            (used - module - allowed.getValue(module)).map { "$module must not depend on $it" }
        }

        assertEquals("", violations.joinToString("\n"))
    }

    @Test
    fun allowedDependenciesHaveNoCycle() {
        val order = allowed.keys.toList()

        allowed.forEach { (module, used) -> assertTrue(used.all { order.indexOf(it) < order.indexOf(module) }, module) }
    }

    @Test
    fun everyModuleHasSources() {
        decisionModules.forEach { assertTrue(sources(it).isNotEmpty(), "no sources found in $it") }
    }

    @Test
    fun eachRuleFindsItsViolation() {
        mapOf(
            "import io.ktor.client.HttpClient" to "opens no socket",
            "val s = java.net.Socket()" to "opens no socket",
            "java.nio.file.Files.readString(path)" to "touches no file",
            "import kotlinx.coroutines.delay" to "starts no coroutine",
            "thread { work() }" to "starts no thread",
            "Thread.sleep(1)" to "starts no thread",
            "ProcessBuilder(command)" to "starts no process",
            "System.currentTimeMillis()" to "reads no clock",
            "System.nanoTime()" to "reads no clock",
            "Clock.System.now()" to "reads no clock",
            "Instant.now()" to "reads no clock",
            "measureTimedValue { }" to "reads no clock",
            "Random.Default" to "draws no unseeded random number",
            "Random.nextInt()" to "draws no unseeded random number",
            "Random()" to "draws no unseeded random number",
            "list.shuffled()" to "draws no unseeded random number",
            "val text = \"${'$'}{System.nanoTime()}\"" to "reads no clock",
            "UUID.randomUUID()" to "draws no unseeded random number",
        ).forEach { (code, reason) ->
            assertEquals(
                listOf(reason),
                decisionRules.filter {
                    it.findIn(codeOf(code)).isNotEmpty()
                }.map { it.reason },
                code,
            )
        }
    }

    @Test
    fun seededRandomAndProseBreakNoRule() {
        val source = """
            /** Never calls System.nanoTime(). */
            val random = Random(seed) // not Random()
            val text = "Thread and java.net"
            list.shuffled(random)
        """.trimIndent()

        assertEquals(emptyList(), decisionRules.flatMap { it.findIn(codeOf(source)) })
    }

    private fun sources(module: String): List<Path> =
        Files.walk(root.resolve(module).resolve("src/main/kotlin")).use { files ->
            files.filter { it.extension == "kt" }.sorted().toList()
        }
}
