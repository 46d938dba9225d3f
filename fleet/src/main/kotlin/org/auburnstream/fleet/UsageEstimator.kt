package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.model.JobId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.TeamId
import org.auburnstream.model.VmId
import kotlin.math.abs
import kotlin.time.Duration

/**
 * Resource usage and jobs of a worker.
 *
 * @property sequence increases with each report of the worker.
 * @property age time between the measurement and the arrival of the report.
 */
@Serializable
public data class WorkerReport(
    val vm: VmId,
    val sequence: Long,
    val age: Duration,
    val used: Resources,
    val jobs: List<JobReport> = emptyList(),
)

/** One job of a [WorkerReport]; [end] is set once the job has left the worker. */
@Serializable
public data class JobReport(val job: JobId, val lease: FleetRevision, val used: Resources, val end: JobEnd? = null)

/**
 * Estimates the resource usage of workers and jobs from the workers' reports; kept on the leader.
 *
 * Reports lag, so the estimate for a worker is its reported usage plus an estimate for each job that it has not
 * reported yet. A job is estimated from its declared resources, corrected by the mean and deviation of the ratio of
 * used to declared resources of the team's jobs, as retransmission timers do with round-trip times (RFC 6298).
 */
public class UsageEstimator {
    private val reports = hashMapOf<VmId, ReceivedReport>()
    private val corrections = hashMapOf<TeamId, Correction>()

    /** Records a [report]; a report that is not newer than the last one is ignored. */
    public fun onReport(report: WorkerReport, state: FleetState, now: MonotonicTime) {
        val last = reports[report.vm]
        if (last != null && report.sequence <= last.report.sequence) return
        reports[report.vm] = ReceivedReport(report, now - report.age)
        for (job in report.jobs) {
            val spec = state.jobs[job.job]?.spec ?: continue
            if (job.end == null) corrections.getOrPut(spec.team) { Correction() }.addSample(spec.declared, job.used)
        }
    }

    /** Returns the latest report of [vm], or null. */
    public fun reportOf(vm: VmId): WorkerReport? = reports[vm]?.report

    /** Returns the time at which the latest report of [vm] was measured, or null. */
    internal fun measuredAt(vm: VmId): MonotonicTime? = reports[vm]?.measuredAt

    /** Returns the estimated usage of [job]. */
    public fun estimateOf(job: Job): Resources {
        val declared = job.spec.declared
        return corrections[job.spec.team]?.correct(declared) ?: declared
    }

    /** Returns the estimated current usage of [vm], including jobs placed since its last report. */
    public fun estimateOf(vm: Vm, state: FleetState): Resources {
        val report = reports[vm.id]?.report
        val reported = report?.jobs.orEmpty().mapTo(hashSetOf()) { it.lease }
        val unreported = state.jobsOn(vm.id).filter { it.leaseOrNull !in reported }
        return unreported.fold(report?.used ?: Resources.None) { sum, job -> sum + estimateOf(job) }
    }

    private class ReceivedReport(val report: WorkerReport, val measuredAt: MonotonicTime)

    private class Correction {
        private val processors = RatioEstimate()
        private val memory = RatioEstimate()

        fun addSample(declared: Resources, used: Resources) {
            if (declared.millicores > 0) processors.addSample(used.millicores.toDouble() / declared.millicores)
            if (declared.memoryMegabytes > 0) {
                memory.addSample(used.memoryMegabytes.toDouble() / declared.memoryMegabytes)
            }
        }

        fun correct(declared: Resources): Resources = declared.copy(
            millicores = (declared.millicores * processors.upperBound).toLong(),
            memoryMegabytes = (declared.memoryMegabytes * memory.upperBound).toLong(),
        )
    }

    private class RatioEstimate {
        private var mean = 1.0
        private var deviation = 0.5

        val upperBound: Double get() = (mean + DEVIATION_MULTIPLIER * deviation).coerceIn(MIN_RATIO, MAX_RATIO)

        fun addSample(sample: Double) {
            deviation += (abs(sample - mean) - deviation) / DEVIATION_SAMPLE_DIVISOR
            mean += (sample - mean) / MEAN_SAMPLE_DIVISOR
        }
    }

    private companion object {
        const val DEVIATION_MULTIPLIER = 2.0
        const val MIN_RATIO = 0.05
        const val MAX_RATIO = 20.0
        const val DEVIATION_SAMPLE_DIVISOR = 4
        const val MEAN_SAMPLE_DIVISOR = 8
    }
}

internal val Job.leaseOrNull: FleetRevision? get() = (phase as? JobPhase.Running)?.lease
