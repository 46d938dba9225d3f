package org.auburnstream.routing

import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import kotlin.time.Duration

/** Fault that a target shows in an exchange. */
enum class TargetFault { NONE, UNREACHABLE, REFUSES, LOSES_ANSWER, HANGS, FAILS }

/** Target that counts its running executions; one ends with the answer, the deadline or the loss of the connection. */
class SimulatedTarget(val vm: VmId, val service: ServiceId, val dataCentre: DataCentreId, val slots: Int) {
    private val running = HashSet<Any>()
    var announcing: Boolean = true
    var leaving: Boolean = false
    var down: Boolean = false

    /** Time since which the target accepts no work: it announced that it leaves or stopped its announcements. */
    var unavailableSince: MonotonicTime? = null
    var maxRunning: Int = 0
        private set
    val inUse: Int get() = running.size

    fun start(exchange: Any) {
        running += exchange
        maxRunning = maxOf(maxRunning, running.size)
    }

    fun end(exchange: Any) {
        running -= exchange
    }

    fun announcement(): Announcement = Announcement(
        vm = vm,
        incarnation = 1,
        dataCentre = dataCentre,
        rack = RackId("rack"),
        pool = PoolId("pool-$service"),
        address = "10.0.0.1",
        port = 80,
        service = service,
        slots = slots,
        leaving = leaving,
    )

    fun stopAcceptingWork(now: MonotonicTime, byLeaving: Boolean) {
        if (byLeaving) leaving = true else announcing = false
        unavailableSince = unavailableSince ?: now
    }

    fun mayReceiveWork(now: MonotonicTime, within: Duration): Boolean =
        unavailableSince.let { it == null || now - it <= within }
}
