package org.auburnstream.daemon.fleet

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetResult
import org.auburnstream.fleet.FleetState
import org.auburnstream.fleet.Placement
import kotlin.time.Instant

/**
 * Holds this replica's [FleetState] and lets one coroutine at a time use it.
 *
 * The request path takes [placement], which is immutable and replaced after each command that changes it.
 */
public class FleetStateHolder(private val state: FleetState = FleetState()) {
    private val lock = Any()
    private val published = MutableStateFlow(Placement.of(state))

    /** View of the fleet after the last applied command. */
    public val placement: StateFlow<Placement> = published.asStateFlow()

    /** Applies a committed [command]; called by the state machine in the order of the log. */
    public fun apply(command: FleetCommand, at: Instant): FleetResult = synchronized(lock) {
        val result = state.apply(command, at)
        published.value = published.value.advance(state, state.takeChanges())
        result
    }

    /** Returns the encoded state. */
    public fun snapshot(): ByteArray = read { it.snapshot() }

    /** Replaces the state by [snapshot]. */
    public fun restore(snapshot: ByteArray): Unit = synchronized(lock) {
        state.restore(snapshot)
        state.takeChanges()
        published.value = Placement.of(state)
    }

    /** Runs [block] on the state; [block] may neither change nor keep it. */
    public fun <T> read(block: (FleetState) -> T): T = synchronized(lock) { block(state) }
}
