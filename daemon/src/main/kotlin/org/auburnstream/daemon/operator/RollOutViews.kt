package org.auburnstream.daemon.operator

import org.auburnstream.api.HeldBackView
import org.auburnstream.api.RollOutView
import org.auburnstream.control.BlockingDaemon
import org.auburnstream.control.RollOutProgress

/** Converts roll-out progress to messages of the operators' API. */
internal object RollOutViews {
    private const val EARLIER_LEADERS = "*"

    fun of(progress: RollOutProgress): RollOutView = RollOutView(
        inForce = progress.inForce,
        millis = progress.elapsed.inWholeMilliseconds,
        heldBackBy = progress.heldBackBy.map(::heldBack),
    )

    private fun heldBack(held: BlockingDaemon): HeldBackView = HeldBackView(
        daemon = held.daemon?.value ?: EARLIER_LEADERS,
        cause = held.cause.name.lowercase(),
        millis = held.waited.inWholeMilliseconds,
    )
}
