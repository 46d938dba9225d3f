package org.auburnstream.testkit.soak

import kotlinx.coroutines.delay
import org.auburnstream.testkit.process.Deployment
import org.auburnstream.testkit.process.ProcessSignal
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Brings failures upon one daemon after the other, chosen by [random]. */
internal class Chaos(
    private val deployment: Deployment,
    private val random: Random,
    private val report: (String) -> Unit,
) {
    /** Fails one daemon, brings it back and returns once it is ready. */
    suspend fun failOne() {
        delay(random.nextInt(MAX_PAUSE_MILLISECONDS).milliseconds)
        val victim = random.nextInt(deployment.plans.size)
        val failure = DaemonFailure.entries.random(random)
        report("${failure.name.lowercase()} ${deployment.plans[victim].id}")
        when (failure) {
            DaemonFailure.KILL -> kill(victim)
            DaemonFailure.FREEZE -> freeze(victim)
            DaemonFailure.STOP -> stop(victim)
        }
        deployment[victim].awaitReady()
    }

    private suspend fun kill(victim: Int) {
        deployment[victim].child.signal(ProcessSignal.KILL)
        deployment.start(victim)
    }

    private suspend fun freeze(victim: Int) {
        deployment[victim].child.signal(ProcessSignal.STOP)
        delay(FREEZE)
        deployment[victim].child.signal(ProcessSignal.CONT)
    }

    private suspend fun stop(victim: Int) {
        deployment[victim].child.signal(ProcessSignal.TERM)
        val code = deployment[victim].child.awaitExit(STOP_TIMEOUT)
        check(code == 0) { "daemon ${deployment.plans[victim].id} stopped with exit code $code instead of 0" }
        deployment.start(victim)
    }

    private companion object {
        const val MAX_PAUSE_MILLISECONDS = 3000
        val FREEZE = 5.seconds
        val STOP_TIMEOUT = 60.seconds
    }
}

/** Failures of a daemon during a soak. */
internal enum class DaemonFailure {
    /** Ended by SIGKILL and started again. */
    KILL,

    /** Frozen by SIGSTOP for longer than its settings lease, then woken. */
    FREEZE,

    /** Stopped by SIGTERM and started again. */
    STOP,
}
