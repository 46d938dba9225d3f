package org.auburnstream.testkit.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.auburnstream.daemon.fleet.FleetProposal
import org.auburnstream.daemon.fleet.FleetRunner
import org.auburnstream.daemon.fleet.FleetServices
import org.auburnstream.daemon.fleet.FleetStateHolder
import org.auburnstream.daemon.fleet.HttpPlatform
import org.auburnstream.daemon.fleet.PlatformResult
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.FleetRevision
import org.auburnstream.fleet.FleetTimings
import org.auburnstream.fleet.MaintenanceWindow
import org.auburnstream.fleet.PlatformAnswer
import org.auburnstream.fleet.PlatformRequest
import org.auburnstream.fleet.Pool
import org.auburnstream.fleet.ServiceSpec
import org.auburnstream.fleet.WavePace
import org.auburnstream.fleet.WaveSpec
import org.auburnstream.fleet.WaveStatus
import org.auburnstream.model.Announcement
import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.OperationId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.auburnstream.model.WaveId
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Clock
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetShellTest {
    private val host = FleetStateHolder()
    private val pool = PoolId("p1")
    private val wave = WaveId("w1")
    private val incarnations = ConcurrentHashMap<VmId, Long>()
    private val client = HttpClient(CIO)

    @Test
    fun `a wave runs over HTTP although the platform loses answers`() = runBlocking(Dispatchers.Default) {
        val standIn =
            PlatformStandIn(
                act = { if (it is PlatformRequest.Restart) incarnations.merge(it.vm, 1, Long::plus) },
                loseAnswer = 0.5,
                random = Random(1),
            )
        val port = standIn.start("127.0.0.1")
        build()
        val shell = shell(HttpPlatform(client, "http://127.0.0.1:$port"))
        val running = launch { shell.start(this) }
        val announcing = launch { announce(shell) }
        withTimeout(40.seconds) { while (!isDone()) delay(20.milliseconds) }
        announcing.cancelAndJoin()
        running.cancelAndJoin()
        standIn.close()
        val restarted = standIn.carriedOut.filterIsInstance<PlatformRequest.Restart>().map { it.vm }
        assertEquals(incarnations.keys.sorted(), restarted.sorted(), "each VM once")
    }

    @Test
    fun `a platform that does not answer is told from one that refuses an old permit`() = runBlocking {
        val standIn = PlatformStandIn(act = {})
        val port = standIn.start("127.0.0.1")
        val platform = HttpPlatform(client, "http://127.0.0.1:$port")
        val newer = PlatformRequest.Restart(VmId("vm1"), FleetRevision(9))
        assertEquals(PlatformResult.Answered(PlatformAnswer.Done), platform.carryOut(newer))
        assertEquals(PlatformResult.Answered(PlatformAnswer.Done), platform.carryOut(newer))
        val older = platform.carryOut(newer.copy(permit = FleetRevision(8)))
        assertEquals(PlatformResult.Answered(PlatformAnswer.Superseded(FleetRevision(9))), older)
        assertEquals(1, standIn.carriedOut.size)
        standIn.close()
        assertIs<PlatformResult.Unanswered>(platform.carryOut(newer))
        Unit
    }

    private fun build() {
        val commands =
            listOf(
                FleetCommand.RegisterDaemon(Alone.self),
                FleetCommand.DefineService(OperationId("o1"), ServiceSpec(ServiceId("s1"), target = 3)),
                FleetCommand.DefinePool(OperationId("o2"), Pool(pool, listOf(ServiceId("s1")))),
                FleetCommand.DeclareWindows(
                    OperationId("o3"),
                    pool,
                    listOf(MaintenanceWindow(pool, null, Clock.System.now() - 1.days, 7.days)),
                ),
            )
        commands.forEach { host.apply(it, Clock.System.now()) }
        for (number in 1..VMS) {
            val vm = VmId("vm$number")
            incarnations[vm] = 1
            host.apply(FleetCommand.RegisterVm(announcement(vm)), Clock.System.now())
        }
        val spec = WaveSpec(wave, listOf(pool), pace = WavePace(2))
        host.apply(FleetCommand.StartWave(OperationId("o4"), spec), Clock.System.now())
    }

    private fun shell(platform: HttpPlatform): FleetRunner {
        val origin = System.nanoTime()
        val services =
            FleetServices(
                leader = { Alone.self },
                propose = { FleetProposal.Answered(host.apply(it, Clock.System.now())) },
                adoptedRevision = { host.placement.value.revision },
                inProgress = { emptySet() },
                leaseEndOf = { MonotonicTime(System.nanoTime() - origin) },
                clock = { MonotonicTime(System.nanoTime() - origin) },
            )
        val timings = FleetTimings(retryInterval = 50.milliseconds)
        return FleetRunner(host, Alone, services, platform, timings, 20.milliseconds, 20.milliseconds)
    }

    private suspend fun announce(shell: FleetRunner) {
        while (true) {
            incarnations.keys.forEach { shell.onAnnouncement(announcement(it)) }
            delay(10.milliseconds)
        }
    }

    private fun announcement(vm: VmId) = Announcement(
        vm = vm,
        incarnation = incarnations.getValue(vm),
        dataCentre = DataCentreId("dc1"),
        rack = RackId("r1"),
        pool = pool,
        address = "127.0.0.1",
        port = 80,
    )

    private fun isDone(): Boolean = host.read { it.waves.getValue(wave).status == WaveStatus.DONE }

    private object Alone : PeerTransport {
        override val self = DaemonId("d1")
        override val peers = emptySet<DaemonId>()

        override fun send(to: DaemonId, channel: PeerChannel, payload: ByteArray): Boolean = false

        override fun register(channel: PeerChannel, handler: suspend (DaemonId, ByteArray) -> Unit) = Unit
    }

    private companion object {
        const val VMS = 5
    }
}
