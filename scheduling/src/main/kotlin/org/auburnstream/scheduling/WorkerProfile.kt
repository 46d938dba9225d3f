package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * Describes one incarnation of a worker as the worker reports it.
 *
 * The address and the capacity may change during the incarnation; the report with the highest sequence number holds.
 *
 * @property address address at which the worker accepts orders.
 * @property vm VM on which the worker runs, or null if the worker does not report it.
 * @property labels kind of the worker and its rack, in this order.
 */
@Serializable
public data class WorkerProfile(
    @SerialName("life") val incarnation: WorkerIncarnation,
    val service: ServiceId,
    val address: String,
    val dataCentre: DataCentreId,
    val vm: VmId? = null,
    val capacity: Resources,
    val labels: List<String> = emptyList(),
) {
    /** Rack of the worker, or null if its labels name none. */
    val rack: RackId?
        get() = labels.getOrNull(RACK_LABEL)?.let(::RackId)
}

private const val RACK_LABEL = 1
