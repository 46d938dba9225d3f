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
        "scheduling" to setOf("model"),
        "storage" to setOf("model", "consensus"),
        "api" to setOf("model", "control", "fleet"),
        "daemon" to setOf("model", "consensus", "storage", "control", "routing", "fleet", "api"),
        "cli" to setOf("model", "api"),
        "dispatch" to setOf("model", "consensus", "storage", "scheduling", "api", "daemon"),
        "platform" to setOf("model", "scheduling", "api", "dispatch"),
        "testkit" to setOf("model", "consensus", "storage", "control", "routing", "fleet", "api", "daemon", "cli"),
        "bench" to
            setOf("model", "consensus", "storage", "control", "routing", "fleet", "api", "daemon", "cli", "testkit"),
    )
    private val decisionModules = listOf("model", "consensus", "control", "routing", "fleet", "scheduling")

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
        val modules =
            Regex("<module>(\\w+)</module>").findAll(root.resolve("pom.xml").readText()).map {
                it.groupValues[1]
            }.toList()
        val dependencies = modules.flatMap { dependenciesOf(it) }
        val wrong = dependencies.filter { dependency ->
            // Tests may use what their module does not ship with, as long as no cycle comes of it.
            if (dependency.forTests) {
                modules.indexOf(dependency.on) >= modules.indexOf(dependency.module)
            } else {
                dependency.on !in allowed.getValue(dependency.module)
            }
        }

        assertEquals("", wrong.joinToString("\n") { "${it.module} must not depend on ${it.on}" })
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

    private fun dependenciesOf(module: String): List<ModuleDependency> =
        Regex("<dependency>.*?</dependency>", RegexOption.DOT_MATCHES_ALL)
            .findAll(root.resolve(module).resolve("pom.xml").readText())
            .mapNotNull { match ->
                val name = Regex("<artifactId>auburnstream-(\\w+)</artifactId>").find(match.value)?.groupValues?.get(1)
                name?.let { ModuleDependency(module, it, forTests = "<scope>test</scope>" in match.value) }
            }
            .toList()

    private class ModuleDependency(val module: String, val on: String, val forTests: Boolean)

    private fun sources(module: String): List<Path> =
        Files.walk(root.resolve(module).resolve("src/main/kotlin")).use { files ->
            files.filter { it.extension == "kt" }.sorted().toList()
        }
}
