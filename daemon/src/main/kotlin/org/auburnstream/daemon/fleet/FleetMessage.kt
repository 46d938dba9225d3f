package org.auburnstream.daemon.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.fleet.DrainReport
import org.auburnstream.model.Announcement
import org.auburnstream.model.VmId

/** Message from a daemon to the leader on the FLEET channel. */
@Serializable
internal sealed interface FleetMessage {
    /** The daemon's requests in progress on VMs that take no new work. */
    @Serializable
    @SerialName("drain")
    data class Drain(val report: DrainReport) : FleetMessage

    /** Announcements that are new to the daemon or differ from the last of their VM. */
    @Serializable
    @SerialName("announced")
    data class Announced(val announcements: List<Announcement>) : FleetMessage

    /** VMs that announced again what the daemon has already passed on. */
    @Serializable
    @SerialName("heard")
    data class Heartbeats(val vms: List<VmHeartbeat>) : FleetMessage
}

/** A VM that announced itself since the last message. */
@Serializable
internal data class VmHeartbeat(val vm: VmId, val incarnation: Long)

@OptIn(ExperimentalSerializationApi::class)
internal object FleetMessages {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: FleetMessage): ByteArray = cbor.encodeToByteArray(FleetMessage.serializer(), message)

    /** Returns the message in [bytes], or null if this version cannot read it. */
    fun decode(bytes: ByteArray): FleetMessage? = try {
        cbor.decodeFromByteArray(FleetMessage.serializer(), bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
