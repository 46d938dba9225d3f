package org.auburnstream.daemon.state

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/**
 * Replicated set of daemons whose settings lease may be live.
 *
 * @property version index of the log entry that last set [live], or 0 before the first such entry.
 * @property live the daemons, or null before the first such entry, when every configured daemon counts as live.
 */
@Serializable
public data class LiveDaemons(val version: Long = 0, val live: Set<DaemonId>? = null)
