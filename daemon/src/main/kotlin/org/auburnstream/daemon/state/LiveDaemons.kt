package org.auburnstream.daemon.state

import kotlinx.serialization.Serializable
import org.auburnstream.model.DaemonId

/**
 * Daemons whose settings lease may be live, as the control group agreed.
 *
 * @property version index of the log entry that set it, or 0 before the first.
 * @property live null before the first entry, when every configured daemon counts as live.
 */
@Serializable
public data class LiveDaemons(val version: Long = 0, val live: Set<DaemonId>? = null)
