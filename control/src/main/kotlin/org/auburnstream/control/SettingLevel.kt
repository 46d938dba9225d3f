package org.auburnstream.control

import kotlinx.serialization.Serializable

/** Level of a node in the settings tree, ordered from the root to the leaves. */
@Serializable
public enum class SettingLevel {
    /** The whole deployment; the root of the tree. */
    DEPLOYMENT,

    /** A region. */
    REGION,

    /** A data centre of a region. */
    DATA_CENTRE,

    /** The part of a pool inside one data centre. */
    POOL,

    /** A service of a pool. */
    SERVICE,

    /** A VM. */
    VM,
    ;

    internal companion object {
        val All: Set<SettingLevel> = entries.toSet()

        /** Returns the levels from the root to [lowest]. */
        fun downTo(lowest: SettingLevel): Set<SettingLevel> = entries.filter { it <= lowest }.toSet()
    }
}
