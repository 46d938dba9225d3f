package org.auburnstream.scheduling

import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.VmId

/**
 * What could be read of the platform's list of VMs.
 *
 * It is evidence of the VMs that it contains. A VM that is missing may stand in an entry that could not be read, or may
 * have changed its place in the list between two pages; see [MissingVms] for what shows that it has left the platform.
 *
 * @property vms entries that were read, in the order of the list; a VM may have several, of which the last is newest.
 * @property requestedAt when the list was requested; each entry describes its VM at this time or later.
 * @property unreadable number of entries that could not be read.
 * @property isRead whether every page was read, up to the end of the list.
 */
public class VmListing(
    public val vms: List<ListedVm>,
    public val requestedAt: MonotonicTime,
    public val unreadable: Int = 0,
    public val isRead: Boolean = true,
) {
    /**
     * Whether every page and every entry was read, and no VM is listed twice.
     *
     * A VM that is listed twice has changed its place while the list was read, and another may have been missed.
     */
    public val isWhole: Boolean
        get() = isRead && unreadable == 0 && vms.distinctBy { it.vm }.size == vms.size
}

/** A VM as the platform lists it. */
public data class ListedVm(
    val vm: VmId,
    val pool: String,
    val state: VmCondition,
    val worker: WorkerId?,
    val capacity: Resources = Resources.None,
)

/** Condition of a VM at the platform. */
public enum class VmCondition {
    /** The VM runs a worker. */
    UP,

    /** The VM is moving to another pool. */
    MOVING,

    /** The VM is in maintenance. */
    UPKEEP,

    /** The VM is switched off or lost. */
    DOWN,
}
