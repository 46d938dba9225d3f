package org.auburnstream.scheduling

/**
 * Run that was claimed at [incarnation] when that ended.
 *
 * @property cause how the incarnation ended.
 * @property runs number of runs that were claimed there, this one included.
 * @property startedLast how many of them had started last, or 0 if this one had not.
 */
internal class LostRun(
    val run: RunId,
    val incarnation: WorkerIncarnation,
    val cause: WorkerLoss,
    val runs: Int,
    val startedLast: Int,
)

/** How a worker incarnation ended. */
internal enum class WorkerLoss {
    /** Another worker reported from the VM, or answered at the address. */
    CRASHED,

    /** The worker started again under its id. */
    RESTARTED,

    /** The worker had announced that it shuts down. */
    ANNOUNCED,

    /** The maintenance or the move of its VM had been ordered. */
    ORDERED,
}

/** Returns how [worker], which is gone, has ended; [unplanned] unless it had announced that or was ordered to. */
internal fun SchedulerState.lossOf(worker: Worker, unplanned: WorkerLoss = WorkerLoss.CRASHED): WorkerLoss {
    val startedMs = worker.profile.incarnation.startedMs
    val vm = worker.profile.vm
    val isOrdered = vm != null &&
        (moves[vm]?.workerStartedMs == startedMs || waves.values.any { it.begun[vm] == startedMs })
    return when {
        worker.isLeaving -> WorkerLoss.ANNOUNCED
        isOrdered -> WorkerLoss.ORDERED
        else -> unplanned
    }
}

/**
 * Returns those of [claims] that were decided last, so that one of them rather than an earlier one ended the worker.
 *
 * Claims that were decided within [START_SPREAD_MS] may have reached the worker in any order.
 */
internal fun startedLast(claims: Map<RunId, Claim>): Set<RunId> {
    val latestMs = claims.values.maxOfOrNull { it.claimedMs } ?: return emptySet()
    return claims.filterValues { it.claimedMs >= latestMs - START_SPREAD_MS }.keys
}

/** A few commits. */
private const val START_SPREAD_MS = 100L
