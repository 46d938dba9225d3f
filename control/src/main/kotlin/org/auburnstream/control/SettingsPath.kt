package org.auburnstream.control

import kotlinx.serialization.Serializable
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RegionId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.isValidId
import kotlin.jvm.JvmInline

/**
 * Path of a node in the settings tree, in the form `/region/data-centre/pool/service/vm`.
 *
 * The root is `/`, and a path may end at any level. The path of a VM without a service has the service segment `-`.
 */
@Serializable
@JvmInline
public value class SettingsPath private constructor(public val value: String) : Comparable<SettingsPath> {
    /** Ids from the region to the node itself; empty for the root. */
    public val segments: List<String>
        get() = if (value == ROOT) emptyList() else value.substring(1).split(SEPARATOR)

    /** Level of the node. */
    public val level: SettingLevel
        get() = SettingLevel.entries[if (value == ROOT) 0 else value.count { it == SEPARATOR }]

    /** Path of the parent node, or null for the root. */
    public val parent: SettingsPath?
        get() =
            when {
                value == ROOT -> null
                value.lastIndexOf(SEPARATOR) == 0 -> Root
                else -> SettingsPath(value.substring(0, value.lastIndexOf(SEPARATOR)))
            }

    /** Returns whether [other] is this node or one of its descendants. */
    public fun contains(other: SettingsPath): Boolean =
        value == ROOT || value == other.value || other.value.startsWith("$value$SEPARATOR")

    /** Returns the path of the child [segment]; the caller must have validated the segment and the level. */
    internal fun child(segment: String): SettingsPath =
        SettingsPath(if (value == ROOT) "$ROOT$segment" else "$value$SEPARATOR$segment")

    /** Returns whether [parse] accepts this path; a deserialized path is not validated otherwise. */
    internal fun isWellFormed(): Boolean = parse(value) != null

    override fun compareTo(other: SettingsPath): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val ROOT = "/"
        private const val SEPARATOR = '/'

        /** Service segment in the path of a VM without a service. */
        public val NoService: ServiceId = ServiceId("-")

        /** The root of the tree. */
        public val Root: SettingsPath = SettingsPath(ROOT)

        /** Parses [text], or returns null if it is not a path of at most five valid ids. */
        public fun parse(text: String): SettingsPath? {
            if (text == ROOT) return Root
            if (!text.startsWith(ROOT)) return null
            val segments = text.substring(1).split(SEPARATOR)
            val valid = segments.size < SettingLevel.entries.size && segments.all(::isValidId)
            return if (valid) SettingsPath(text) else null
        }

        /**
         * Creates the path of a region, data centre, pool, service or VM; the ids of all its ancestors are required.
         *
         * @throws IllegalArgumentException if the id of an ancestor is missing or an id is invalid.
         */
        public fun of(
            region: RegionId,
            dataCentre: DataCentreId? = null,
            pool: PoolId? = null,
            service: ServiceId? = null,
            vm: VmId? = null,
        ): SettingsPath {
            val ids = listOf(region.value, dataCentre?.value, pool?.value, service?.value, vm?.value)
            val segments = ids.takeWhile { it != null }
            require(
                segments.size == ids.count {
                    it != null
                },
            ) { "An ancestor id is missing in $ids: specify the ids of all levels above the node." }
            val text = segments.joinToString(separator = "/", prefix = ROOT)
            return requireNotNull(parse(text)) { "Invalid id in '$text': use letters, digits, '.', '_' or '-'." }
        }
    }
}
