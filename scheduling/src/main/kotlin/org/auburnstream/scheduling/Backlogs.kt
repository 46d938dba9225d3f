package org.auburnstream.scheduling

import org.auburnstream.model.JobId
import org.auburnstream.model.ServiceId

/**
 * Estimates how long new jobs would wait at each service, from the steps that waited at the latest plan.
 *
 * Handles a burst of jobs beyond a tenant's weight: a job that could only be late is better refused at once.
 */
internal class Backlogs(private val state: SchedulerState, private val durations: DurationEstimator) {
    private val waitMs = HashMap<ServiceId, Double>()

    /** Updates the estimates for the steps [waiting]. */
    fun update(waiting: List<WaitingStep>) {
        waitMs.clear()
        val counted = HashSet<Pair<JobId, Int>>()
        val work = HashMap<ServiceId, Double>()
        for (step in waiting) {
            if (step.description.lasting || !counted.add(step.id.job to step.id.occurrence)) continue
            work.merge(step.queue.service, step.workMs.toDouble(), Double::plus)
        }
        for ((service, workMs) in work) {
            val workers = state.workers.values.filter { it.profile.service == service }
            waitMs[service] = workMs / workers.sumOf { it.profile.capacity.millicores }
        }
    }

    /** Whether a new job of [queue] would wait so long that it misses its objective. */
    fun exceedObjective(queue: Queue, description: JobDescription): Boolean {
        val steps = description.steps
        if (description.schedule != null || steps.any { it.lasting }) return false
        val chains = LongArray(steps.size)
        steps.forEachIndexed { number, step ->
            val earlier = step.dependsOn.maxOfOrNull { chains[it] } ?: 0
            chains[number] = earlier + durations.estimate(queue.name, step.estimateMs)
        }
        val slackMs = queue.objectiveMs + (queue.stretch - 1) * (chains.maxOrNull() ?: 0)
        return (waitMs[queue.service] ?: 0.0) > slackMs
    }
}
