package org.auburnstream.daemon.peer

import org.auburnstream.model.DaemonId

/**
 * Address of another daemon's peer listener.
 *
 * @property address IP address.
 * @property port TCP port, 1 to 65535.
 */
public data class PeerAddress(val id: DaemonId, val address: String, val port: Int)
