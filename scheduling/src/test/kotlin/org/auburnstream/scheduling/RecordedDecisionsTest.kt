package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Compares every claim, its worker and its order with recorded ones.
 *
 * Guards a deployment whose catalog has no tenants against any change of its decisions.
 */
class RecordedDecisionsTest {
    private val task = StepDescription(count = 1, demand = Resources(1_000, 100), estimateMs = 1_000)

    private fun digestOfClaims(seed: Int): String {
        val fleet = VirtualFleet.withWorkers(6, seed)
        // A random delay would make each decision depend on the number of messages before it.
        fleet.networkDelays = { 2.milliseconds }
        val digest = MessageDigest.getInstance("SHA-256")
        fleet.mutate = { action ->
            if (action is Action.Commit) {
                action.batch.records.filterIsInstance<Record.RunClaimed>().forEach {
                    digest.update("${action.batch.atMs} ${it.run} ${it.incarnation}\n".encodeToByteArray())
                }
            }
            listOf(action)
        }
        val random = Random(seed)
        fleet.submit("lasting", task.copy(count = 3, lasting = true, maxPerWorker = 1))
        repeat(160) { number ->
            val width = 1 + random.nextInt(8)
            val step = task.copy(
                count = width,
                demand = Resources(200L + random.nextLong(3_000), 100),
                estimateMs = 200L + random.nextLong(1_500),
                gang = number % 11 == 0,
                fillsUnused = number % 17 == 0,
            )
            val queue = VirtualFleet.QUEUE.copy(priority = number % 2)
            fleet.at(random.nextLong(12_000).milliseconds) { fleet.submit("job$number", step, task, queue = queue) }
        }
        fleet.at(4.seconds) { fleet.submit("late-lasting", task.copy(count = 4, lasting = true)) }
        fleet.at(6.seconds) { fleet.changeLeader() }
        fleet.run(40.seconds)
        assertEquals(emptyList(), fleet.violations, "seed $seed")
        return HexFormat.of().formatHex(digest.digest()).take(16)
    }

    @Test
    fun aCatalogWithoutTenantsGivesTheRecordedClaims() {
        assertEquals(RECORDED, List(6) { digestOfClaims(it) })
    }

    private companion object {
        val RECORDED = listOf(
            "99bbfd43ddc8d66c",
            "6d0e9fbe24d2f247",
            "f973370b77b2f44a",
            "f7c9b590309c46ed",
            "ca7856df452df1b5",
            "6841d27a0c16c575",
        )
    }
}
