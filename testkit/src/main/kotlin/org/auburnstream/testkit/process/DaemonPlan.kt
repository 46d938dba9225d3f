package org.auburnstream.testkit.process

import org.auburnstream.daemon.config.ListenerPorts
import org.auburnstream.model.DaemonId
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/**
 * How one daemon of a test deployment is started.
 *
 * @property ports ports of the listeners; that for the other daemons is fixed, since they must know it beforehand.
 * @property voters ids of the voters; empty [dataFolder] and no entry here make a learner.
 */
public data class DaemonPlan(
    val id: DaemonId,
    val dataCentre: String,
    val ports: ListenerPorts,
    val peers: String,
    val voters: String,
    val tokenFile: Path,
    val dataFolder: Path?,
    val logFile: Path,
    val portsFile: Path,
    val extraFlags: List<String> = emptyList(),
) {
    /** Command line of the daemon. */
    public fun toFlags(): List<String> = buildList {
        addAll(listOf("--id", id.value, "--region", "region-1", "--data-centre", dataCentre))
        addAll(listOf("--peer-port", ports.peers.toString(), "--peers", peers, "--voters", voters))
        addAll(listOf("--caller-port", ports.callers.toString(), "--operator-port", ports.operators.toString()))
        addAll(listOf("--target-port", ports.targets.toString(), "--health-port", ports.health.toString()))
        addAll(listOf("--operator-token-file", tokenFile.toString(), "--ports-file", portsFile.toString()))
        if (dataFolder != null) addAll(listOf("--data-folder", dataFolder.toString()))
        addAll(extraFlags)
    }

    public companion object {
        /** Token of the operator of a test deployment. */
        public const val TOKEN: String = "test-token-0123456789"

        /** Plans daemons `d1`, `d2`, ... in a data centre each, with their files below [folder]; the first vote. */
        public fun deployment(
            folder: Path,
            count: Int,
            extraFlags: List<String> = emptyList(),
            voterCount: Int = count,
        ): List<DaemonPlan> {
            val tokenFile = Files.writeString(folder.resolve("tokens"), "operator-1:$TOKEN\n")
            val ports = freePorts(count)
            val peers = ports.withIndex().joinToString(",") { (i, port) -> "d${i + 1}=127.0.0.1:$port" }
            val voters = ports.indices.take(voterCount).joinToString(",") { "d${it + 1}" }
            return ports.mapIndexed { i, port ->
                DaemonPlan(
                    id = DaemonId("d${i + 1}"),
                    dataCentre = "dc-${i + 1}",
                    ports = ListenerPorts(peers = port),
                    peers = peers,
                    voters = voters,
                    tokenFile = tokenFile,
                    dataFolder = folder.resolve("data-d${i + 1}"),
                    logFile = folder.resolve("d${i + 1}.log"),
                    portsFile = folder.resolve("d${i + 1}.ports"),
                    extraFlags = extraFlags,
                )
            }
        }

        /** Returns [count] distinct ports that were free a moment ago. */
        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { socket -> socket.use { it.localPort } }
        }
    }
}
