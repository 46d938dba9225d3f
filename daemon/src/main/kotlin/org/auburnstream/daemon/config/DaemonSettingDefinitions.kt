package org.auburnstream.daemon.config

import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Definitions of all startup settings of the daemon, in the order of the help text. */
public object DaemonSettingDefinitions {
    internal val id = SettingDefinition(
        name = "id",
        unit = "id",
        range = ID_RANGE,
        required = true,
        help = "Id of this daemon, unique in its region.",
        parse = idParser(::DaemonId),
    )

    internal val region = SettingDefinition(
        name = "region",
        unit = "id",
        range = ID_RANGE,
        required = true,
        help = "Region of this daemon.",
        parse = idParser(::RegionId),
    )

    internal val dataCentre = SettingDefinition(
        name = "data-centre",
        unit = "id",
        range = ID_RANGE,
        required = true,
        help = "Data centre of this daemon.",
        parse = idParser(::DataCentreId),
    )

    internal val bindAddress = SettingDefinition(
        name = "bind-address",
        unit = "IP number",
        range = "IPv4 or IPv6",
        default = "127.0.0.1",
        help = "Address on which every listener binds.",
        parse = ::parseAddress,
    )

    internal val callerPort = port("caller-port", default = 7401, help = "Port for callers' requests, HTTP.")
    internal val operatorPort = port("operator-port", default = 7402, help = "Port for operators, HTTP with a token.")
    internal val targetPort = port("target-port", default = 7403, help = "Port for the announcements of targets, HTTP.")
    internal val peerPort = port("peer-port", default = 7404, help = "Port for the other daemons.")
    internal val healthPort = port("health-port", default = 7405, help = "Port for health checks and metrics, HTTP.")

    internal val portsFile = SettingDefinition(
        name = "ports-file",
        unit = "path",
        range = "file in an existing folder",
        help = "File to which the bound ports are written once every listener is up.",
        parse = ::parsePath,
    )

    internal val peers = SettingDefinition(
        name = "peers",
        unit = "id=address:port",
        range = "comma-separated, no doubles",
        default = "",
        help = "Daemons of the region with the addresses of their peer ports; this daemon's own entry is ignored.",
        parse = listParser(::parsePeer),
    )

    internal val voters = SettingDefinition(
        name = "voters",
        unit = "id",
        range = "comma-separated, no doubles, each a peer or this daemon",
        required = true,
        help = "Daemons that vote in the control group when it is first started.",
        parse = listParser(idParser(::DaemonId)),
    )

    internal val dataFolder = SettingDefinition(
        name = "data-folder",
        unit = "path",
        range = "writable folder",
        help = "Folder for the state that must survive; without it the daemon learns and keeps its state in memory.",
        parse = ::parsePath,
    )

    internal val operatorTokenFile = SettingDefinition(
        name = "operator-token-file",
        unit = "path",
        range = "readable file",
        required = true,
        help = "File with a line operator:token for each operator.",
        parse = ::parsePath,
    )

    internal val seed = SettingDefinition(
        name = "seed",
        unit = "integer",
        range = "64-bit",
        default = "0",
        help = "Seed of the pseudorandom choices; 0 derives one from the id.",
        parse = String::toLongOrNull,
    )

    internal val maxHeaderBytes = SettingDefinition(
        name = "max-header-bytes",
        unit = "bytes",
        range = HEADER_BYTES.describe(),
        default = ListenerLimits.DEFAULT_HEADER_BYTES.toString(),
        help = "Longest request line with headers; a longer one is refused.",
        parse = intParser(HEADER_BYTES),
    )

    internal val maxBodyBytes = SettingDefinition(
        name = "max-body-bytes",
        unit = "bytes",
        range = BODY_BYTES.describe(),
        default = ListenerLimits.DEFAULT_BODY_BYTES.toString(),
        help = "Longest body of a request or answer; a longer one is refused.",
        parse = intParser(BODY_BYTES),
    )

    internal val maxConnections = SettingDefinition(
        name = "max-connections",
        unit = "connections",
        range = CONNECTIONS.describe(),
        default = ListenerLimits.DEFAULT_CONNECTIONS.toString(),
        help = "Connections of callers that are open at the same time.",
        parse = intParser(CONNECTIONS),
    )

    internal val unreadyPeriod = SettingDefinition(
        name = "unready-period",
        unit = "duration",
        range = UNREADY_PERIOD.describe(),
        default = "5s",
        help = "Time for the balancer to notice a stop before new requests are refused.",
        parse = durationParser(UNREADY_PERIOD),
    )

    internal val drainTimeout = SettingDefinition(
        name = "drain-timeout",
        unit = "duration",
        range = DRAIN_TIMEOUT.describe(),
        default = "30s",
        help = "Longest time for which a stop waits for requests in progress.",
        parse = durationParser(DRAIN_TIMEOUT),
    )

    internal val logLevel = SettingDefinition(
        name = "log-level",
        unit = "level",
        range = LogLevel.entries.joinToString { it.name.lowercase() },
        default = "info",
        help = "Least level of the events that are logged.",
        parse = ::parseLogLevel,
    )

    internal val traceExport = SettingDefinition(
        name = "trace-export",
        unit = "off, log or path",
        range = "off, log, or a file named with a slash",
        default = "off",
        help = "Where the spans of requests go.",
        parse = ::parseTraceExport,
    )

    /** All definitions, in the order of the help text. */
    public val all: List<SettingDefinition<*>> = listOf(
        id, region, dataCentre,
        bindAddress, callerPort, operatorPort, targetPort, peerPort, healthPort, portsFile,
        peers, voters, dataFolder, operatorTokenFile, seed,
        maxHeaderBytes, maxBodyBytes, maxConnections, unreadyPeriod, drainTimeout,
        logLevel, traceExport,
    )

    private fun port(name: String, default: Int, help: String): SettingDefinition<Int> = SettingDefinition(
        name = name,
        unit = "TCP port",
        range = portRange.describe() + ", 0 for any free one",
        default = default.toString(),
        help = help,
        parse = intParser(portRange),
    )
}

private const val ID_RANGE = "1 to 128 letters, digits, '.', '_' or '-'"

private val HEADER_BYTES = 1024..1024 * 1024
private val BODY_BYTES = 0..64 * 1024 * 1024
private val CONNECTIONS = 1..65_536
private val UNREADY_PERIOD = 0.seconds..1.minutes
private val DRAIN_TIMEOUT = 0.seconds..10.minutes

private fun IntRange.describe(): String = "$first to $last"

private fun ClosedRange<Duration>.describe(): String = "$start to $endInclusive"
