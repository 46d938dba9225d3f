package org.auburnstream.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.auburnstream.dispatch.http.HttpRequest
import org.auburnstream.dispatch.http.HttpResponse
import org.auburnstream.model.DaemonId
import org.auburnstream.scheduling.RequestLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Status of the control group that a control process publishes to the processes linked to it.
 *
 * @property leader leader of [term] that is ready to serve requests, or null.
 * @property members processes of the group.
 * @property limits limits of callers' requests according to the current catalog.
 * @property hasCatalog whether the group has accepted a catalog.
 */
@Serializable
internal data class GroupStatus(
    @SerialName("t") val term: Long,
    @SerialName("l") val leader: DaemonId?,
    @SerialName("m") val members: List<DaemonId>,
    @SerialName("b") val limits: RequestLimits = RequestLimits(),
    @SerialName("c") val hasCatalog: Boolean = false,
)

/**
 * A request that a process forwards to the leader.
 *
 * @property listener name of the [ListenerKind] at which the request arrived.
 */
@Serializable
internal class ForwardedRequest(@SerialName("l") val listener: String, @SerialName("r") val request: HttpRequest)

/**
 * Answer to a [ForwardedRequest].
 *
 * @property response answer of the leader, or null if the receiving process is not the leader.
 */
@Serializable
internal class ForwardedReply(@SerialName("r") val response: HttpResponse?)

/** Encodes and decodes the messages between processes as CBOR. */
internal object Messages {
    private val cbor = Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    fun encode(status: GroupStatus): ByteArray = cbor.encodeToByteArray(GroupStatus.serializer(), status)

    fun encode(request: ForwardedRequest): ByteArray = cbor.encodeToByteArray(ForwardedRequest.serializer(), request)

    fun encode(reply: ForwardedReply): ByteArray = cbor.encodeToByteArray(ForwardedReply.serializer(), reply)

    fun status(bytes: ByteArray): GroupStatus? = decode { cbor.decodeFromByteArray(GroupStatus.serializer(), bytes) }

    fun request(bytes: ByteArray): ForwardedRequest? =
        decode { cbor.decodeFromByteArray(ForwardedRequest.serializer(), bytes) }

    fun reply(bytes: ByteArray): ForwardedReply? =
        decode { cbor.decodeFromByteArray(ForwardedReply.serializer(), bytes) }

    private fun <T> decode(block: () -> T): T? = try {
        block()
    } catch (_: RuntimeException) {
        // On corrupt bytes the decoder throws many exception types, including those for bad indexes and lengths.
        null
    }
}

/** Timeout of a request whose caller states none; equals the usual timeout of callers' clients. */
internal val DEFAULT_REQUEST_TIME: Duration = 3_000.milliseconds
