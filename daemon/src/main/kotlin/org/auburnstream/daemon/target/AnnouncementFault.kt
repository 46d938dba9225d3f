package org.auburnstream.daemon.target

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.Serializable
import org.auburnstream.model.Announcement
import org.auburnstream.model.isValidId

/**
 * Reply to an announcement.
 *
 * @property intervalMs milliseconds until the target should announce itself again.
 */
@Serializable
public data class AnnouncementReply(val intervalMs: Long)

/** Why an announcement was refused, as `application/problem+json`. */
@Serializable
public data class AnnouncementProblem(val type: String, val title: String, val status: Int)

/** Reasons to refuse an announcement. */
public enum class AnnouncementFault(internal val status: HttpStatusCode) {
    /** The body is not an announcement in JSON. */
    MALFORMED_ANNOUNCEMENT(HttpStatusCode.BadRequest),

    /** The body exceeds the bound. */
    OVERSIZED_ANNOUNCEMENT(HttpStatusCode.PayloadTooLarge),

    /** A field is outside its range. */
    INVALID_ANNOUNCEMENT(HttpStatusCode.UnprocessableEntity),

    /** A later incarnation of the VM announced itself before. */
    STALE_INCARNATION(HttpStatusCode.Conflict),
    ;

    /** Returns the problem details with the explanation [title]. */
    public fun problem(title: String): AnnouncementProblem =
        AnnouncementProblem("urn:auburnstream:problem:" + name.lowercase().replace('_', '-'), title, status.value)
}

/** Returns what is wrong with the fields of [announcement], or null if nothing is. */
internal fun invalidField(announcement: Announcement): String? = with(announcement) {
    val ids = listOf("vm" to vm.value, "dataCentre" to dataCentre.value, "rack" to rack.value, "pool" to pool.value)
    val named = ids + listOfNotNull(service?.let { "service" to it.value })
    val wrongId = named.firstOrNull { !isValidId(it.second) }
    when {
        wrongId != null -> "${wrongId.first} '${wrongId.second}' is not an id"
        !IpNumber.matches(address) -> "address '$address' is not an IP number"
        port !in 1..MAX_PORT -> "port $port is not in 1..$MAX_PORT"
        slots !in 1..MAX_SLOTS -> "slots $slots is not in 1..$MAX_SLOTS"
        connections !in slots..MAX_CONNECTIONS -> "connections $connections is not in $slots..$MAX_CONNECTIONS"
        processors < 1 -> "processors $processors is below 1"
        memoryMegabytes < 0 -> "memoryMegabytes $memoryMegabytes is below 0"
        accelerators < 0 -> "accelerators $accelerators is below 0"
        else -> null
    }
}

private val IpNumber = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F]*(:[0-9a-fA-F]*){2,7}""")
private const val MAX_PORT = 65535
private const val MAX_SLOTS = 1024
private const val MAX_CONNECTIONS = 65536
