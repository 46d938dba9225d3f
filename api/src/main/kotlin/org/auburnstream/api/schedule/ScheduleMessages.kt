package org.auburnstream.api.schedule

import kotlinx.serialization.Serializable

/**
 * A job to accept.
 *
 * @property id 16 hexadecimal digits; a job of this id that is known already is not accepted a second time.
 * @property queue queue of the catalog in force.
 * @property payload opaque text that each task is started with, 4000 bytes at most.
 * @property schedule when the steps run more than once, or null if they run once and at once.
 * @property tenant tenant of the catalog in force that the job belongs to, or null if it belongs to none.
 */
@Serializable
public data class JobSubmission(
    val id: String,
    val queue: String,
    val payload: String = "",
    val steps: List<StepSubmission>,
    val schedule: ScheduleSubmission? = null,
    val tenant: String? = null,
)

/**
 * Tasks of one kind within a job.
 *
 * @property count number of tasks, at least 1.
 * @property millicores processor time of one task, 1000 for a whole processor.
 * @property estimateMillis rough estimate of the duration of one task, or 0.
 * @property dependsOn numbers of earlier steps, counted from 0, whose tasks must be done first.
 * @property maxPerWorker most tasks of the step on one worker, or 0 for no bound.
 * @property tailTargetMillis bound of the tail of a serving task's response times, or 0.
 * @property mayMiss tasks that planned work may make unavailable at a time, or 0 for no bound.
 */
@Serializable
public data class StepSubmission(
    val count: Int = 1,
    val millicores: Long = 0,
    val memoryMegabytes: Long = 0,
    val accelerators: Int = 0,
    val estimateMillis: Long = 0,
    val dependsOn: List<Int> = emptyList(),
    val savesProgress: Boolean = false,
    val gang: Boolean = false,
    val prefersOneRack: Boolean = false,
    val requiredLabel: String? = null,
    val dataRack: String? = null,
    val maxPerWorker: Int = 0,
    val allowsCopies: Boolean = false,
    val lasting: Boolean = false,
    val image: String = "",
    val tailTargetMillis: Long = 0,
    val fillsUnused: Boolean = false,
    val mayMiss: Int = 0,
)

/** Times at which a job's steps run: [occurrences] of them, every [intervalMillis] from [firstMillis] on. */
@Serializable
public data class ScheduleSubmission(val occurrences: Int, val firstMillis: Long, val intervalMillis: Long)

/** Answer to an order about the job [id] that was stored. */
@Serializable
public data class JobReceipt(val id: String)

/**
 * An accepted job.
 *
 * @property phase `active`, `complete`, `failed` or `cancelled`.
 * @property ageMillis time since the job was accepted.
 * @property tasksDone tasks that are done of the occurrences in progress.
 * @property runs runs that may be in progress.
 * @property tenant tenant that the job belongs to, or null if it belongs to none.
 * @property crashes crashes of workers that count against tasks of the job, which is given up for too many.
 */
@Serializable
public data class ScheduledJobView(
    val id: String,
    val queue: String,
    val phase: String,
    val ageMillis: Long,
    val tasks: Int,
    val tasksDone: Int,
    val runs: List<RunView> = emptyList(),
    val tenant: String? = null,
    val crashes: List<CrashView> = emptyList(),
)

/** A run that may be in progress. */
@Serializable
public data class RunView(val run: String, val worker: String)

/**
 * Crash of a worker under [run].
 *
 * @property suspicion how much it speaks against the task: `bystander`, `started_last`, `at_start` or `at_start_alone`.
 */
@Serializable
public data class CrashView(val run: String, val suspicion: String)

/**
 * A queue of the catalog.
 *
 * @property waiting accepted jobs that have not started.
 * @property active accepted jobs that have work left.
 */
@Serializable
public data class QueueView(
    val name: String,
    val service: String,
    val priority: Int,
    val attempts: Int,
    val waiting: Int,
    val active: Int,
)

/**
 * A tenant of the catalog, or one that was removed from it and has jobs left. Its keys are not shown.
 *
 * @property weight share of the tenant in jobs per second, or null if it is not in the catalog.
 * @property cap resources that its runs may occupy, 0 in a dimension for no limit; null if it is not in the catalog.
 * @property running resources that its [runs] occupy.
 * @property runs runs that may be in progress.
 * @property waiting accepted jobs that have not started.
 * @property active accepted jobs that have work left.
 * @property excess active jobs that were accepted when the tenant had used up its weight.
 */
@Serializable
public data class TenantView(
    val name: String,
    val weight: Double?,
    val cap: AmountView?,
    val running: AmountView,
    val runs: Int,
    val waiting: Int,
    val active: Int,
    val excess: Int,
)

/** An amount of resources: [millicores], [memoryMegabytes] and [accelerators]. */
@Serializable
public data class AmountView(val millicores: Long = 0, val memoryMegabytes: Long = 0, val accelerators: Int = 0)

/**
 * A worker.
 *
 * @property vm VM on which the worker runs, or null if the worker does not say.
 * @property runs runs that may be in progress there.
 */
@Serializable
public data class WorkerView(
    val worker: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val vm: String?,
    val leaving: Boolean,
    val millicores: Long,
    val millicoresUsed: Long,
    val runs: Int,
)

/**
 * A maintenance wave: [vms] in all, [begun] of them begun and [ended] over; at most [cap] at a time.
 *
 * @property unknown number of VMs that are over because the platform does not know them, or not as part of the wave.
 * @property refused number of VMs that have not begun because the platform refused the latest order.
 */
@Serializable
public data class UpkeepView(
    val wave: Long,
    val vms: Int,
    val begun: Int,
    val ended: Int,
    val cap: Int,
    val dueInMillis: Long,
    val complete: Boolean,
    val unknown: Int = 0,
    val refused: Int = 0,
)
