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
 * What a control process tells others of its group.
 *
 * @property leader process that leads in [term] and can take orders, or null.
 * @property members processes that take part.
 * @property limits bounds of callers' requests from the catalog in force.
 * @property hasCatalog whether a catalog was accepted.
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
 * A request that one process passes on to the leader.
 *
 * @property listener name of the listener at which the request arrived.
 */
@Serializable
internal class ForwardedRequest(@SerialName("l") val listener: String, @SerialName("r") val request: HttpRequest)

/**
 * Answer to a [ForwardedRequest].
 *
 * @property response what the leader answered, or null if the process that was asked does not lead.
 */
@Serializable
internal class ForwardedReply(@SerialName("r") val response: HttpResponse?)

/** CBOR of the messages between processes. */
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
        // The decoder fails in many ways on damaged bytes, also by bad indexes and lengths.
        null
    }
}

/** How long a request may take when its caller names no time; the usual timeout of a caller's client. */
internal val DEFAULT_REQUEST_TIME: Duration = 3_000.milliseconds
