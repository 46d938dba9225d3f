package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/**
 * Deterministic state machine that applies the commands of the replicated log.
 *
 * Every replica applies the same commands in the same order, so [apply] may depend only on the state and the
 * command. All functions are called from one coroutine at a time.
 */
public interface StateMachine {
    /** Applies the committed [command] at [index] and returns the encoded result for the proposer. */
    public fun apply(index: LogIndex, command: ByteArray): ByteArray

    /** Returns the encoded state after the last applied command. */
    public fun snapshot(): ByteArray

    /** Replaces the state by [snapshot], which covers the commands up to [index]. */
    public fun restore(index: LogIndex, snapshot: ByteArray)
}
