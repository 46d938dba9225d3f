package org.auburnstream.daemon.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.fleet.DrainReport
import org.auburnstream.model.Announcement
import org.auburnstream.model.VmId

/** Message from a daemon to the fleet leader on the FLEET channel. */
@Serializable
internal sealed interface FleetMessage {
    /** Reports the VMs that this daemon has requests in progress on. */
    @Serializable
    @SerialName("drain")
    data class Drain(val report: DrainReport) : FleetMessage

    /** Full announcements: new, changed since the last one of their VM, or due for a periodic resend. */
    @Serializable
    @SerialName("announced")
    data class Announced(val announcements: List<Announcement>) : FleetMessage

    /** VMs whose announcement is unchanged since the daemon last forwarded it. */
    @Serializable
    @SerialName("heard")
    data class Heartbeats(val vms: List<VmHeartbeat>) : FleetMessage
}

/** Repeated announcement of a VM, reduced to its id and incarnation. */
@Serializable
internal data class VmHeartbeat(val vm: VmId, val incarnation: Long)

/** Encodes and decodes [FleetMessage] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal object FleetMessages {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: FleetMessage): ByteArray = cbor.encodeToByteArray(FleetMessage.serializer(), message)

    /** Returns the message in [bytes], or null if this version cannot decode it. */
    fun decode(bytes: ByteArray): FleetMessage? = try {
        cbor.decodeFromByteArray(FleetMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
