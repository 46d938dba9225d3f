package org.auburnstream.daemon.config

import org.auburnstream.daemon.peer.PeerAddress
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.RegionId
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Startup settings of one daemon; they do not change while it runs.
 *
 * @property id id of this daemon, unique in its region.
 * @property bindAddress IP address on which every listener binds.
 * @property portsFile file to which the bound ports are written once every listener is up, or null for none.
 * @property peers the other daemons; never contains this one.
 * @property voters daemons that vote in the control group when it is first started.
 * @property dataFolder folder for persistent state, or null for a learner that keeps its state in memory.
 * @property operatorTokenFile file with a line `operator:token` for each operator.
 * @property seed seed of every pseudorandom generator of the daemon.
 * @property unreadyPeriod time between reporting unready and refusing new requests, so that the load balancer can
 *   react.
 * @property drainTimeout maximum time for which a stop waits for requests in progress.
 */
public data class DaemonSettings(
    val id: DaemonId,
    val region: RegionId,
    val dataCentre: DataCentreId,
    val operatorTokenFile: Path,
    val voters: Set<DaemonId>,
    val peers: List<PeerAddress> = emptyList(),
    val bindAddress: String = "127.0.0.1",
    val ports: ListenerPorts = ListenerPorts(),
    val portsFile: Path? = null,
    val dataFolder: Path? = null,
    val seed: Long = 0,
    val limits: ListenerLimits = ListenerLimits(),
    val unreadyPeriod: Duration = 5.seconds,
    val drainTimeout: Duration = 30.seconds,
    val logLevel: LogLevel = LogLevel.INFO,
    val traceExport: TraceExport = TraceExport.Off,
) {
    /** Whether this daemon votes when the control group is first started. */
    public val isInitialVoter: Boolean
        get() = id in voters
}

/** TCP ports of a daemon's listeners, 0 to 65535; 0 lets the system choose a free one. */
public data class ListenerPorts(
    val callers: Int = 0,
    val operators: Int = 0,
    val targets: Int = 0,
    val peers: Int = 0,
    val health: Int = 0,
) {
    /** Returns the content of the ports file: a line `name=port` for each listener. */
    public fun toText(): String =
        """
        callers=$callers
        operators=$operators
        targets=$targets
        peers=$peers
        health=$health
        """.trimIndent() + "\n"

    public companion object {
        /** Parses the [text] of a ports file; returns null if a listener is missing or a port is not a number. */
        public fun parseOrNull(text: String): ListenerPorts? {
            val ports = text.lines().filter { '=' in it }.associate { line ->
                line.substringBefore('=') to line.substringAfter('=').toIntOrNull()
            }
            return ListenerPorts(
                callers = ports["callers"] ?: return null,
                operators = ports["operators"] ?: return null,
                targets = ports["targets"] ?: return null,
                peers = ports["peers"] ?: return null,
                health = ports["health"] ?: return null,
            )
        }
    }
}

/**
 * Size and connection limits of the listeners.
 *
 * @property headerBytes maximum size of the request line with headers.
 * @property bodyBytes maximum size of the body of a request or answer.
 * @property connections maximum number of callers' connections that are open at the same time.
 */
public data class ListenerLimits(
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val connections: Int = DEFAULT_CONNECTIONS,
) {
    public companion object {
        /** Default of [headerBytes]. */
        public const val DEFAULT_HEADER_BYTES: Int = 16 * 1024

        /** Default of [bodyBytes]. */
        public const val DEFAULT_BODY_BYTES: Int = 1024 * 1024

        /** Default of [connections]. */
        public const val DEFAULT_CONNECTIONS: Int = 1024
    }
}

/** Minimum level of the events that are logged. */
public enum class LogLevel {
    /** Faults that need the attention of an operator. */
    ERROR,

    /** Faults that the daemon has handled. */
    WARN,

    /** Changes of state and requests that were not answered. */
    INFO,

    /** Every request and message. */
    DEBUG,
}

/** Destination of finished spans. */
public sealed interface TraceExport {
    /** No span is recorded; the caller's trace context is still forwarded. */
    public data object Off : TraceExport

    /** Writes one log line for each span. */
    public data object Log : TraceExport

    /** Appends one line for each span to the file [path]. */
    public data class ToFile(val path: Path) : TraceExport
}
