package org.auburnstream.scheduling

/**
 * Logs which tenants have tasks that wait for their cap.
 *
 * One line when the first task of a tenant waits, with what it has running, and one when none waits any more.
 */
internal class CappedTenants(private val state: SchedulerState, private val emit: (Action) -> Unit) {
    private var capped = emptySet<TenantName>()

    /** Updates the tenants after a plan in which the tasks of [steps] had to wait for a cap. */
    fun update(steps: List<CappedStep>) {
        if (steps.isEmpty() && capped.isEmpty()) return
        val byTenant = steps.groupBy { checkNotNull(it.step.job.owner).tenant }
        val added = byTenant.keys - capped
        if (added.isNotEmpty()) {
            val usage = state.usageByTenant()
            for (tenant in added) {
                val waiting = byTenant.getValue(tenant)
                log(
                    "tenant_capped",
                    "tenant" to tenant,
                    "running" to usage[tenant],
                    "cap" to state.catalog?.tenant(tenant)?.cap,
                    "tasks" to waiting.sumOf { it.tasks },
                    "first_job" to waiting.first().step.job.id,
                )
            }
        }
        (capped - byTenant.keys).forEach { log("tenant_uncapped", "tenant" to it) }
        capped = byTenant.keys
    }

    private fun log(event: String, vararg fields: Pair<String, Any?>) {
        emit(Action.Note(event, fields.toList()))
    }
}
