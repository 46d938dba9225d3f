package org.auburnstream.scheduling

import kotlinx.serialization.Serializable
import org.auburnstream.model.Resources
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.jvm.JvmInline

/** Name of a tenant in the catalog. */
@Serializable
@JvmInline
public value class TenantName(public val value: String) : Comparable<TenantName> {
    override fun compareTo(other: TenantName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * SHA-256 digest of a tenant's key in hexadecimal digits.
 *
 * Keys are compared and stored as digests, so neither a lookup's time nor a log line reveals a key.
 */
@Serializable
@JvmInline
public value class KeyDigest(public val value: String) {
    /** Returns no digit, because a few of them suffice to confirm a guess of the key. */
    override fun toString(): String = "key"

    public companion object {
        /** Returns the digest of the key [text]. */
        public fun of(text: String): KeyDigest =
            KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())))
    }
}

/**
 * A tenant, on whose behalf callers submit jobs.
 *
 * @property keys digests of the keys that identify the tenant's callers.
 * @property weight share of the tenant when callers compete for capacity, in jobs per second; positive.
 * @property cap resources that the tenant's runs may occupy across all workers; 0 in a dimension means no limit.
 */
@Serializable
public data class Tenant(
    val name: TenantName,
    val keys: List<KeyDigest>,
    val weight: Double,
    val cap: Resources = Resources.None,
)
