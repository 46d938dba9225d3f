package org.auburnstream.api.fleet

/** Paths and parameters of the operators' interface to the fleet. */
public object FleetRoutes {
    private const val PREFIX = "/v1/fleet"

    /** Pools with what they need and when they will have been maintained. */
    public const val POOLS: String = "$PREFIX/pools"

    /** VMs, limited by [POOL]. */
    public const val VMS: String = "$PREFIX/vms"

    /** Maintenance waves. */
    public const val WAVES: String = "$PREFIX/waves"

    /** Availability budgets of the services. */
    public const val BUDGETS: String = "$PREFIX/budgets"

    /** Jobs, limited by [TEAM]. */
    public const val JOBS: String = "$PREFIX/jobs"

    /** Quotas of the teams. */
    public const val QUOTAS: String = "$PREFIX/quotas"

    /** Why the VM given by [VM] is where it is. */
    public const val EXPLAIN: String = "$PREFIX/explain"

    /** Where changes are sent. */
    public const val CHANGES: String = "$PREFIX/changes"

    /** Parameter: id of a pool. */
    public const val POOL: String = "pool"

    /** Parameter: id of a team. */
    public const val TEAM: String = "team"

    /** Parameter: id of a VM. */
    public const val VM: String = "vm"
}
