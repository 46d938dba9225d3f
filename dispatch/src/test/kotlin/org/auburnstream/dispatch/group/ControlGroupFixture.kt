package org.auburnstream.dispatch.group

import org.auburnstream.dispatch.ControlNode
import org.auburnstream.dispatch.EntryNode
import org.auburnstream.dispatch.NodeSettings
import org.auburnstream.dispatch.link.PeerNetwork
import org.auburnstream.dispatch.metrics.NodeMetrics
import org.auburnstream.model.DataCentreId
import java.io.IOException
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteIfExists
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * A control group and the entry processes in front of it, with real links, sockets and data folders.
 *
 * There are several entries because a leader publishes its status to each of them.
 */
internal class ControlGroupFixture(folder: Path, entries: Int = 3) : AutoCloseable {
    private val ports = freePorts(MEMBERS + entries)
    private val seeds = ports.take(MEMBERS).map { PeerNetwork.idOf(HOST, it) }.toSet()
    private val fatal = ConcurrentLinkedQueue<String>()
    private val members = List(MEMBERS) { Member("control-$it", ports[it], folder.resolve("control-$it")) }
    private val entryPorts = ports.drop(MEMBERS)
    private val entries = entryPorts.map(::startEntry)
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private var lastJob = 0

    /** Steps of the test and the answers that callers got, for the message of a failure. */
    private val history = arrayListOf("start:")

    /** The member that served the last read, which a quorum had confirmed as the leader. */
    var leader: Member = members.first()
        private set

    /** A member that does not lead. */
    val follower: Member
        get() = members.first { it !== leader }

    init {
        pollUntil(START_TIME, ::report) { isAnswered("POST", SubmissionHandler.CATALOG_PATH) }
        awaitService("start")
    }

    /** Freezes the leader for at least [duration], and until another member leads. */
    fun freezeLeader(duration: Duration) {
        val frozen = leader
        history += "freeze ${frozen.name}:"
        val begin = TimeSource.Monotonic.markNow()
        frozen.process.freeze()
        pollUntil(maxOf(duration, SERVICE_BOUND), ::report) {
            isAnswered("GET", jobPath()) && leader !== frozen && begin.elapsedNow() >= duration
        }
        frozen.process.thaw()
    }

    /** Kills [member] and starts it again after [downtime]; with [losesDisk] it comes back without its data. */
    fun restart(member: Member, downtime: Duration, losesDisk: Boolean = false) {
        history += "kill ${member.name}" + if (losesDisk) " and delete its data" else ""
        val begin = TimeSource.Monotonic.markNow()
        member.process.kill()
        pollUntil(downtime + 1.seconds, ::report) { begin.elapsedNow() >= downtime }
        member.startAgain(losesDisk)
    }

    /**
     * Waits until a job that is submitted now is accepted and read.
     *
     * Fails if that takes longer than the users allow after the last disturbance, which was [disturbance].
     */
    fun awaitService(disturbance: String) {
        history += "after $disturbance:"
        pollUntil(SERVICE_BOUND, ::report) {
            lastJob += 1
            isAnswered("POST", jobPath()) && isAnswered("GET", jobPath())
        }
        history += "led by ${leader.name};"
    }

    /** Waits until only the leader says that it schedules. */
    fun awaitOneSchedulingLeader() {
        pollUntil(SERVICE_BOUND, ::report) { isAnswered("GET", jobPath()) && scheduling() == listOf(leader) }
    }

    override fun close() {
        members.forEach { it.process.kill() }
        entries.forEach { it.kill() }
        check(fatal.isEmpty()) { "processes ended themselves: $fatal" }
    }

    private fun scheduling(): List<Member> = members.filter { !it.process.isFrozen && it.schedules() }

    private fun jobPath() = "/jobs/$lastJob"

    private fun report(): String =
        "scheduling: ${scheduling().map { it.name }}, ended: $fatal, history: ${history.joinToString(" ")}"

    /** Sends a request to one of the entries, in turn; returns whether it was answered with success. */
    private fun isAnswered(method: String, path: String): Boolean {
        val port = entryPorts[lastJob % entryPorts.size]
        val request = HttpRequest.newBuilder(URI("http://$HOST:$port$path"))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .timeout(CALLER_TIME.toJavaDuration())
            .build()
        val response = try {
            client.send(request, HttpResponse.BodyHandlers.ofString())
        } catch (_: IOException) {
            null
        }
        val entry = "$method ${response?.statusCode() ?: "unanswered"}"
        if (history.last() != entry) history += entry
        if (response?.statusCode() != SubmissionHandler.OK) return false
        if (method == "GET") leader = members.single { it.name == response.body() }
        return true
    }

    private fun startEntry(port: Int): ProcessStandIn {
        val name = "entry-$port"
        val settings = nodeSettings(name, port).copy(callers = InetSocketAddress(HOST, port))
        return bound {
            val process = ProcessStandIn(name)
            val node = EntryNode(settings, process.loop, SubmissionHandler(name), NodeMetrics())
            process.also { it.start(node::start) }
        }
    }

    private fun nodeSettings(name: String, port: Int) = NodeSettings(
        name = name,
        dataCentre = DataCentreId("a"),
        callers = null,
        readiness = null,
        control = null,
        peer = InetSocketAddress(HOST, port),
        metrics = null,
        seeds = seeds,
        formsGroup = false,
        dataFolder = null,
        losses = 1,
    )

    /** A member of the group, through all its restarts. */
    inner class Member(val name: String, private val port: Int, private val folder: Path) {
        private lateinit var metrics: NodeMetrics
        var process: ProcessStandIn = start(formsGroup = true)
            private set

        /** Whether the member says that it schedules. */
        fun schedules(): Boolean {
            val lines = process.call { metrics.scrape() }.decodeToString().lines()
            return lines.single { it.startsWith("auburnstream_leads ") }.substringAfter(' ').toDouble() == 1.0
        }

        @OptIn(ExperimentalPathApi::class)
        fun startAgain(losesDisk: Boolean) {
            if (losesDisk) folder.deleteRecursively()
            // The system drops the lock of a process that is killed, but here the process of the test still holds it.
            folder.resolve("lock").deleteIfExists()
            process = start(formsGroup = !losesDisk)
        }

        private fun start(formsGroup: Boolean): ProcessStandIn = bound {
            val process = ProcessStandIn(name)
            val settings = nodeSettings(name, port).copy(
                control = InetSocketAddress(HOST, 0),
                formsGroup = formsGroup,
                dataFolder = folder,
            )
            metrics = NodeMetrics()
            val node = ControlNode(
                settings = settings,
                loop = process.loop,
                handler = SubmissionHandler(name),
                gateway = { _, _, _, _ -> },
                metrics = metrics,
                decodeCatalog = { SubmissionHandler.catalog },
                onFatal = { fatal += "$name: $it" },
            )
            process.start(node::start)
            process
        }
    }

    private companion object {
        const val MEMBERS = 3
        const val HOST = "127.0.0.1"
        val START_TIME = 20.seconds
        val BIND_TIME = 20.seconds
        val CALLER_TIME = 3.seconds

        /** Time until the core counts as stable, and time for an answer from then on. */
        val SERVICE_BOUND = 3.seconds + 4_000.milliseconds

        /** Returns [count] ports that are free now; they are held together so that none occurs twice. */
        fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName(HOST)) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }

        /** Repeats [start] while another socket uses the port. */
        fun <T : Any> bound(start: () -> T): T {
            var started: T? = null
            pollUntil(BIND_TIME, { "the port is still in use" }) {
                started = try {
                    start()
                } catch (_: BindException) {
                    null
                }
                started != null
            }
            return checkNotNull(started)
        }
    }
}
