package org.auburnstream.scheduling

import org.auburnstream.model.Resources

/**
 * Limits the runs of each tenant to its [Tenant.cap], within one plan.
 *
 * Handles a tenant that sends more than its part while workers are free: without a limit its tasks take every worker
 * that others will need. What a tenant has running is the sum over all claims, whichever leader made them; a claim
 * lasts from before the start order until the run has certainly ended, so unanswered starts count as well. A task
 * counts with its whole demand, also if it uses only leftover processor time.
 *
 * The caps of the catalog in force and of those that are being committed both hold, the lower one in each dimension. A
 * tenant that none of them contains has no cap, so that its accepted jobs go on.
 *
 * @param pending catalogs that will come into force if they are committed.
 */
internal class TenantCaps(private val state: SchedulerState, pending: List<Catalog> = emptyList()) {
    private val catalogs = listOfNotNull(state.catalog) + pending

    /** Summed up only when a plan has tasks to place. */
    private val ledgers: Map<TenantName, Ledger> by lazy(LazyThreadSafetyMode.NONE) {
        val ledgers = HashMap<TenantName, Ledger>()
        val capped = catalogs.flatMap { it.tenants }.filter { it.cap != Resources.None }
        capped.forEach { ledgers.getOrPut(it.name) { Ledger() }.tighten(it.cap) }
        if (ledgers.isNotEmpty()) {
            state.forEachClaim { job, description ->
                job.owner?.let { ledgers[it.tenant] }?.run(description.demand, 1)
            }
        }
        ledgers
    }

    /** Whether the tenant of [job] may start one more task of a step. */
    fun mayStart(job: Job, description: StepDescription): Boolean = startable(job, description, 1) == 1

    /** Returns how many of [tasks] tasks of a step may start; of a gang all or none. */
    fun startable(job: Job, description: StepDescription, tasks: Int): Int =
        whole(description, tasks, ledgerOf(job)?.slots(description.demand, tasks) ?: tasks)

    /** Counts [tasks] more tasks of a step as running. */
    fun started(job: Job, description: StepDescription, tasks: Int) {
        ledgerOf(job)?.run(description.demand, tasks)
    }

    /**
     * Returns how many of [tasks] tasks that no worker has the capacity for may start together with all tasks that were
     * [wanted][addWanted] before; of a gang all or none.
     */
    fun wantable(job: Job, description: StepDescription, tasks: Int): Int =
        whole(description, tasks, ledgerOf(job)?.slotsBesideWanted(description.demand, tasks) ?: tasks)

    /** Counts [tasks] tasks as demand for which capacity is looked for. */
    fun addWanted(job: Job, description: StepDescription, tasks: Int) {
        ledgerOf(job)?.want(description.demand, tasks)
    }

    private fun whole(description: StepDescription, tasks: Int, fitting: Int): Int =
        if (description.gang && fitting < tasks) 0 else fitting

    private fun ledgerOf(job: Job): Ledger? = if (ledgers.isEmpty()) null else job.owner?.let { ledgers[it.tenant] }

    /** Cap of one tenant and what counts towards it. */
    private class Ledger {
        private var cap = NoLimit
        private var running = Resources.None
        private var wanted = Resources.None

        fun tighten(other: Resources) {
            fun lower(own: Long, other: Long) = if (other == 0L) own else minOf(own, other)
            cap = Resources(
                lower(cap.millicores, other.millicores),
                lower(cap.memoryMegabytes, other.memoryMegabytes),
                lower(cap.accelerators.toLong(), other.accelerators.toLong()).toInt(),
            )
        }

        fun run(demand: Resources, tasks: Int) {
            running = running.plusCapped(demand, tasks)
        }

        fun want(demand: Resources, tasks: Int) {
            wanted = wanted.plusCapped(demand, tasks)
        }

        fun slots(demand: Resources, limit: Int): Int = slotsBeside(running, demand, limit)

        fun slotsBesideWanted(demand: Resources, limit: Int): Int =
            slotsBeside(running.plusCapped(wanted, 1), demand, limit)

        /** Returns how many of [limit] tasks fit under the cap; of tasks larger than it one, beside little else. */
        private fun slotsBeside(used: Resources, demand: Resources, limit: Int): Int {
            if (demand.fitsIn(cap)) return demand.timesIn(cap - used, limit)
            // Such a task would never start, while the operator tolerates one task beyond the cap.
            return if (limit > 0 && used.plusCapped(used, 1).fitsIn(cap)) 1 else 0
        }
    }

    private companion object {
        val NoLimit = Resources(Long.MAX_VALUE, Long.MAX_VALUE, Int.MAX_VALUE)
    }
}

/** Calls [action] for every claim of a job that is known, with the description of the claimed task. */
internal inline fun SchedulerState.forEachClaim(action: (Job, StepDescription) -> Unit) {
    for (incarnation in claimedIncarnations) {
        for ((run, description) in claimsAt(incarnation)) action(jobs[run.task.step.job] ?: continue, description)
    }
}

/** Returns this amount and [tasks] times [demand], each component at most its type's largest value. */
internal fun Resources.plusCapped(demand: Resources, tasks: Int): Resources {
    fun sum(own: Long, each: Long, largest: Long): Long =
        if (each > 0 && tasks > (largest - own) / each) largest else own + each * tasks
    return Resources(
        sum(millicores, demand.millicores, Long.MAX_VALUE),
        sum(memoryMegabytes, demand.memoryMegabytes, Long.MAX_VALUE),
        sum(accelerators.toLong(), demand.accelerators.toLong(), Int.MAX_VALUE.toLong()).toInt(),
    )
}

/** Returns the demand of all runs that may be in progress, by tenant; tenants without runs are missing. */
public fun SchedulerState.usageByTenant(): Map<TenantName, Resources> {
    val usage = HashMap<TenantName, Resources>()
    forEachClaim { job, description ->
        val tenant = job.owner?.tenant ?: return@forEachClaim
        usage[tenant] = (usage[tenant] ?: Resources.None).plusCapped(description.demand, 1)
    }
    return usage
}
