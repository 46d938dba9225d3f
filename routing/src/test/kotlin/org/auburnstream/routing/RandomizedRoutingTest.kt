package org.auburnstream.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the results of randomized runs against the oracle.
 *
 * Guards against wrong, late, missing or duplicate results and exceeded limits while daemons and targets fail.
 */
class RandomizedRoutingTest {
    @Test
    fun everyRequestHasExactlyOneCorrectResult() {
        val results = HashMap<String, Int>()
        val faults = mutableListOf<String>()
        for (seed in 1..SCHEDULES) {
            val policy = ServicePolicy(queueCapacity = if (seed % 2 == 0) 8 else 1024)
            val simulation = RoutingSimulation(seed, settings = RoutingSimulation.Settings.copy(policy = policy))
            RandomizedRun(simulation).run()
            simulation.oracle.results.forEach { (kind, count) -> results.merge(kind, count, Int::plus) }
            faults += simulation.oracle.faults
            faults += limitFaults(simulation)
        }
        println("schedules=$SCHEDULES results=${results.toSortedMap()}")
        assertEquals(emptyList(), faults.take(8))
        assertTrue(results.keys.containsAll(ExpectedResults), "some kinds of results did not occur: $results")
    }

    private fun limitFaults(simulation: RoutingSimulation): List<String> =
        simulation.targets.filter { it.maxRunning > it.slots }.map {
            "seed ${simulation.seed}: ${it.vm} ran ${it.maxRunning} requests on ${it.slots} slots"
        } + listOfNotNull("seed ${simulation.seed}: too many connections".takeIf { simulation.maxConnections > 64 })

    private companion object {
        const val SCHEDULES = 1200
        val ExpectedResults =
            setOf(
                "ANSWERED", "OVERLOADED", "DEADLINE_TOO_SHORT", "NO_TARGET", "SETTINGS_LEASE_EXPIRED",
                "REFUSED_BY_TARGET", "TARGET_UNREACHABLE", "CONNECTION_LOST", "DEADLINE_EXCEEDED", "DISPLACED",
            )
    }
}

/** Runs one seeded simulation with bursts of requests and faults at random times. */
private class RandomizedRun(private val simulation: RoutingSimulation) {
    private val random = Random(simulation.seed * 31)
    private val faultRate = listOf(0.0, 0.05, 0.3, 1.0).random(random)
    private val faultKind = TargetFault.entries.random(random)
    private val maxGapMillis = listOf(2, 6, 20).random(random)
    private val faultyTarget = simulation.targets.random(random)

    fun run() {
        simulation.creditLoss = listOf(0.0, 0.2, 0.6).random(random)
        simulation.targetFault = { target ->
            if (target === faultyTarget && random.nextDouble() < faultRate) faultKind else TargetFault.NONE
        }
        simulation.run(random.nextInt(0, 1500).milliseconds)
        repeat(random.nextInt(3, 8)) { phase(random.nextInt(1, 90)) }
        simulation.daemons.forEach { it.thaw() }
        simulation.run(6.seconds)
        simulation.oracle.atEnd()
    }

    private fun phase(arrivals: Int) {
        injectFault()
        repeat(arrivals) {
            if (simulation.daemons.any { it.up }) {
                val request = simulation.submitRequest()
                if (random.nextInt(40) == 0) simulation.daemons.forEach { it.disconnectCaller(request) }
            }
            simulation.run(random.nextInt(0, maxGapMillis).milliseconds)
        }
        simulation.run(random.nextInt(0, 3000).milliseconds)
    }

    private fun injectFault() {
        val daemon = simulation.daemons.random(random)
        val target = simulation.targets.random(random)
        when (random.nextInt(10)) {
            0 -> daemon.kill()
            1 -> daemon.restart()
            2 -> daemon.freeze()
            3 -> daemon.thaw()
            4 -> daemon.partitioned = !daemon.partitioned
            5 -> target.stopAcceptingWork(simulation.events.now, byLeaving = random.nextBoolean())
            6 -> target.down = !target.down
            else -> Unit
        }
    }
}
