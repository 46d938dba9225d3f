package org.auburnstream.dispatch.group

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against leaders that schedule nothing after a series of changes. Each test is named after its failure. */
class LeaderSeriesTest {
    @TempDir
    private lateinit var folder: Path
    private val random = Random(SEED)

    /** A process that missed the end of its leadership in one freeze cannot begin the next one after another freeze. */
    @Test
    fun aProcessThatWasFrozenAsLeaderSchedulesNothingWhenItLeadsAgain() = ControlGroupFixture(folder).use { group ->
        repeat(FREEZES) { round ->
            group.freezeLeader(FREEZE_TIME)
            group.awaitService("freeze")
            if (round == 0 || round == FREEZES - 1) killLeader(group)
        }
        group.awaitOneSchedulingLeader()
    }

    /** The processes that lead while a member comes back without its data answer requests as if they did not lead. */
    @Test
    fun aMemberThatLostItsDiskLeavesALeaderThatSchedulesNothing() = ControlGroupFixture(folder).use { group ->
        group.restart(group.follower, downtime(), losesDisk = true)
        group.awaitService("lost disk")
        repeat(2) { killLeader(group) }
        group.awaitOneSchedulingLeader()
    }

    private fun killLeader(group: ControlGroupFixture) {
        group.restart(group.leader, downtime())
        group.awaitService("kill")
    }

    private fun downtime(): Duration = random.nextLong(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS).milliseconds

    private companion object {
        const val SEED = 36

        /** With seven leaders after the first kill, one of the three processes leads a third time without a restart. */
        const val FREEZES = 7
        const val MIN_DOWNTIME_MS = 800L
        const val MAX_DOWNTIME_MS = 2_000L

        /** Long enough for the others to close their links to the frozen process, which takes 2 s. */
        val FREEZE_TIME = 3.seconds
    }
}
