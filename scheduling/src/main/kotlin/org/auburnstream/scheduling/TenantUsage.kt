package org.auburnstream.scheduling

import org.auburnstream.model.Resources
import java.util.TreeMap

/**
 * What the jobs of one tenant occupy and wait for.
 *
 * @property running sum of the demands of the [runs].
 * @property runs runs that may be in progress.
 * @property waiting active jobs that have started no task, without jobs that have a schedule.
 * @property active jobs that have work left.
 * @property excess active jobs that were accepted when the tenant had used up its weight.
 */
public data class TenantUsage(
    val running: Resources = Resources.None,
    val runs: Int = 0,
    val waiting: Int = 0,
    val active: Int = 0,
    val excess: Int = 0,
)

/** Returns the usage of every tenant of the catalog and of every other tenant with active jobs or runs, by name. */
public fun SchedulerState.tenantUsage(): Map<TenantName, TenantUsage> {
    val usage = TreeMap<TenantName, TenantUsage>()
    catalog?.tenants?.forEach { usage[it.name] = TenantUsage() }
    for (job in active.values) {
        val owner = job.owner ?: continue
        val isWaiting = !job.hasStarted && job.description.schedule == null
        val sum = usage[owner.tenant] ?: TenantUsage()
        usage[owner.tenant] = sum.copy(
            waiting = sum.waiting + if (isWaiting) 1 else 0,
            active = sum.active + 1,
            excess = sum.excess + if (owner.isExcess) 1 else 0,
        )
    }
    for (incarnation in claimedIncarnations) {
        for ((run, step) in claimsAt(incarnation)) {
            val tenant = jobs[run.task.step.job]?.owner?.tenant ?: continue
            val sum = usage[tenant] ?: TenantUsage()
            usage[tenant] = sum.copy(running = sum.running + step.demand, runs = sum.runs + 1)
        }
    }
    return usage
}
