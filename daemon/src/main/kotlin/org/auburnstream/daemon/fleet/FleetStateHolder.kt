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
 * Owns this replica's [FleetState] and serializes access to it with a lock.
 *
 * The request path reads [placement], an immutable snapshot that is replaced after each command that changes it.
 */
public class FleetStateHolder(private val state: FleetState = FleetState()) {
    private val lock = Any()
    private val published = MutableStateFlow(Placement.of(state))

    /** Placement after the last applied command. */
    public val placement: StateFlow<Placement> = published.asStateFlow()

    /** Applies a committed [command]. The state machine calls this in log order. */
    public fun apply(command: FleetCommand, at: Instant): FleetResult = synchronized(lock) {
        val result = state.apply(command, at)
        published.value = published.value.advance(state, state.takeChanges())
        result
    }

    /** Returns the encoded state. */
    public fun snapshot(): ByteArray = read { it.snapshot() }

    /** Replaces the state with the one encoded in [snapshot]. */
    public fun restore(snapshot: ByteArray): Unit = synchronized(lock) {
        state.restore(snapshot)
        state.takeChanges()
        published.value = Placement.of(state)
    }

    /** Runs [block] on the state under the lock. [block] must neither modify the state nor retain a reference to it. */
    public fun <T> read(block: (FleetState) -> T): T = synchronized(lock) { block(state) }
}
