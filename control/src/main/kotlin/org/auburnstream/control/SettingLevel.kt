package org.auburnstream.control

import kotlinx.serialization.Serializable

/** Level of a node in the settings tree, from the root downwards. */
@Serializable
public enum class SettingLevel {
    /** The root: the whole deployment. */
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

        fun downTo(lowest: SettingLevel): Set<SettingLevel> = entries.filter { it <= lowest }.toSet()
    }
}
