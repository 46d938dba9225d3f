package org.auburnstream.testkit.daemons

import org.auburnstream.testkit.caller.CallerResult
import org.auburnstream.testkit.oracle.OrderStream
import org.auburnstream.testkit.process.ProcessSignal
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class DaemonKillTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun othersServeOnAndEveryResultIsTrue() = withDaemons(folder, daemons = 3) { (deployment, target) ->
        val byDaemon = List(3) { daemon ->
            listOf(true, false).map { withKeys ->
                OrderStream(deployment.caller, "d${daemon + 1}-$withKeys", withKeys) {
                    deployment[daemon].ports.callers
                }
            }
        }
        val streams = byDaemon.flatten()
        val jobs = streams.map { it.startIn(this) }
        streams.forEach { it.awaitAnswers(MORE) }

        repeat(3) { victim ->
            val others = (byDaemon - setOf(byDaemon[victim])).flatten()
            deployment[victim].child.signal(ProcessSignal.KILL)
            val before = others.associateWith { it.results.size }
            others.forEach { it.awaitAnswers(it.answered + MORE) }

            val since = others.flatMap { it.results.drop(before.getValue(it)) }
            val failed = since.filterNot { it is CallerResult.Answered }
            assertEquals(emptyList(), failed, "through the others after the kill of d${victim + 1}")
            deployment.start(victim).awaitReady()
            byDaemon[victim].forEach { it.awaitAnswers(it.answered + MORE) }
        }

        streams.forEach { it.stop() }
        jobs.forEach { it.join() }
        assertEquals(emptyList(), streams.flatMap { it.violations(listOf(target.executions)) })
    }

    private suspend fun OrderStream.awaitAnswers(count: Int) {
        eventually("$count answers") { Unit.takeIf { answered >= count } }
    }

    private companion object {
        /** Enough orders that each of the daemons is used in every phase. */
        const val MORE = 50
    }
}
