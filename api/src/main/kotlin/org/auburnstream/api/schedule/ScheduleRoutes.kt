package org.auburnstream.api.schedule

import org.auburnstream.api.ApiRoutes

/** Paths and parameters of the operators' interface to the scheduling of jobs. */
public object ScheduleRoutes {
    private const val ROOT: String = "${ApiRoutes.PREFIX}/schedule"

    /** Accepted jobs, and where new ones are sent; followed by `/ID` for one job and `/ID/cancel` to cancel it. */
    public const val JOBS: String = "$ROOT/jobs"

    /** Last part of the path that cancels a job. */
    public const val CANCEL: String = "cancel"

    /** Queues of the catalog in force. */
    public const val QUEUES: String = "$ROOT/queues"

    /** Tenants of the catalog in force, and others that have jobs left. */
    public const val TENANTS: String = "$ROOT/tenants"

    /** Workers that are known. */
    public const val WORKERS: String = "$ROOT/workers"

    /** Maintenance waves. */
    public const val WAVES: String = "$ROOT/waves"

    /** Parameter that restricts the list of jobs to one queue. */
    public const val QUEUE: String = "queue"
}
