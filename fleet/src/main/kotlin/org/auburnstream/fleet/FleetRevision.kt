package org.auburnstream.fleet

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/**
 * Number of commands that a [FleetState] has applied.
 *
 * All replicas apply the same commands, so a revision identifies the same state on every replica. The revision at which
 * a permit was granted is also its fencing token in requests to the platform.
 */
@Serializable
@JvmInline
public value class FleetRevision(public val value: Long) : Comparable<FleetRevision> {
    override fun compareTo(other: FleetRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Revision of a state that has applied no command. */
        public val Zero: FleetRevision = FleetRevision(0)
    }
}
