package org.auburnstream.scheduling

import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.RackId
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId

/**
 * What a worker says of itself that does not change during its life.
 *
 * @property address where the worker takes orders.
 * @property vm VM that the worker is a life of, or null if the worker does not say.
 * @property labels kind of the worker and its rack, in this order.
 */
@Serializable
public data class WorkerProfile(
    val life: WorkerLife,
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
