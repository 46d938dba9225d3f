package org.auburnstream.api.fleet

import kotlinx.serialization.Serializable
import org.auburnstream.fleet.AvailabilityBudget
import org.auburnstream.fleet.BudgetSpent
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetRefusal
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.JobAction
import org.auburnstream.fleet.JobResult
import org.auburnstream.fleet.MoveRecord
import org.auburnstream.fleet.PoolForecast
import org.auburnstream.fleet.TeamQuota
import org.auburnstream.fleet.VmPhase
import org.auburnstream.fleet.WaveSpec
import org.auburnstream.fleet.WaveStatus
import org.auburnstream.fleet.WorkerTrust
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.JobId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.TeamId
import org.auburnstream.model.Urgency
import org.auburnstream.model.VmId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Request to change the fleet.
 *
 * @property dryRun true to learn what [command] would lead to without running it.
 */
@Serializable
public data class FleetChangeRequest(val command: FleetCommand.Operator, val dryRun: Boolean = false)

/**
 * Answer to a [FleetChangeRequest].
 *
 * @property revision revision at which the change was applied, or null if it was refused or a dry run.
 * @property refusal why the change was or would be refused, or null.
 */
@Serializable
public data class FleetChangeView(
    val dryRun: Boolean,
    val revision: FleetRevision? = null,
    val refusal: RefusalView? = null,
)

/** A typed refusal with its text for operators. */
@Serializable
public data class RefusalView(val reason: FleetRefusal, val detail: String) {
    public companion object {
        /** The view of [reason], or null if there is none. */
        public fun of(reason: FleetRefusal?): RefusalView? = reason?.let { RefusalView(it, it.describe()) }
    }
}

/**
 * A pool.
 *
 * @property target VMs that the pool needs for full service.
 * @property ownBuffer VMs that it would have to hold back without a shared buffer.
 * @property hold why maintenance of the pool is held, or null.
 */
@Serializable
public data class PoolView(
    val id: PoolId,
    val services: List<ServiceId>,
    val spare: Boolean,
    val vms: Int,
    val available: Int,
    val target: Int,
    val ownBuffer: Int,
    val hold: RefusalView?,
    val forecast: PoolForecast?,
)

/**
 * All pools.
 *
 * @property sharedBuffer VMs that the spare pool should hold for all pools together.
 */
@Serializable
public data class PoolsView(val pools: List<PoolView>, val sharedBuffer: Int)

/** A VM. */
@Serializable
public data class VmView(
    val id: VmId,
    val pool: PoolId,
    val state: String,
    val dataCentre: DataCentreId,
    val rack: RackId,
    val incarnation: Long,
    val maintainedAt: Instant,
    val trust: WorkerTrust,
    val phase: VmPhase,
)

/**
 * A maintenance wave.
 *
 * @property waitsFor why no further VM is started now, or null if one is.
 */
@Serializable
public data class WaveView(
    val spec: WaveSpec,
    val status: WaveStatus,
    val startedAt: Instant,
    val pending: List<VmId>,
    val inProgress: List<VmId>,
    val done: Int,
    val waitsFor: RefusalView?,
)

/** Availability budget of a service and what is spent of it, planned and unplanned apart. */
@Serializable
public data class BudgetView(
    val service: ServiceId,
    val target: Int,
    val available: Int,
    val shortfall: Int,
    val budget: AvailabilityBudget,
    val spent: BudgetSpent,
    val left: Duration,
)

/** A job; [result] is null until it is over. */
@Serializable
public data class JobView(
    val id: JobId,
    val team: TeamId,
    val urgency: Urgency,
    val state: String,
    val worker: VmId? = null,
    val measure: JobAction? = null,
    val result: JobResult? = null,
    val failedOn: Set<VmId> = emptySet(),
)

/** Quota of a team with what its running jobs use of it. */
@Serializable
public data class QuotaView(val quota: TeamQuota, val used: Resources)

/**
 * Why a VM is where it is.
 *
 * @property move its latest change of pool, or null if it was never moved.
 * @property detail the explanation for operators.
 */
@Serializable
public data class ExplanationView(val vm: VmId, val pool: PoolId, val move: MoveRecord?, val detail: String)
