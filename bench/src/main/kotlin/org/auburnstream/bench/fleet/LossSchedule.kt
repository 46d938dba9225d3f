package org.auburnstream.bench.fleet

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

/** Loss of one VM or of a whole rack, and the time until it is repaired. */
internal class Loss(val at: Duration, val repair: Duration, val hits: (number: Int) -> Boolean)

/** Racks hold four VMs each; neighbouring numbers are in different racks. */
internal fun rackOf(number: Int): Int = number % RACKS

internal const val RACKS: Int = 9

/** Seeded losses at the rates of the target. */
internal object LossSchedule {
    /** Single VMs at six a day among 1,100, and one rack in the four weeks. */
    fun of(length: Duration, random: Random): List<Loss> {
        val vms = Targets.sum()
        val expected = LOSSES_A_DAY * vms / TARGET_VMS * length.toDouble(DurationUnit.DAYS)
        val singles = (0 until expected.toInt()).map {
            val vm = random.nextInt(vms)
            Loss(length * random.nextDouble(), repairTime(random)) { it == vm }
        }
        val rack = random.nextInt(RACKS)
        val whole = Loss(length * random.nextDouble(), RACK_REPAIR) { rackOf(it) == rack }
        return singles + whole
    }

    private fun repairTime(random: Random): Duration = random.nextInt(MIN_REPAIR_MINUTES, MAX_REPAIR_MINUTES).minutes

    private const val LOSSES_A_DAY = 6.0
    private const val TARGET_VMS = 1_100
    private const val MIN_REPAIR_MINUTES = 60
    private const val MAX_REPAIR_MINUTES = 240
    private val RACK_REPAIR = 2.hours
}
