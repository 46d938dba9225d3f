package org.auburnstream.daemon.observability

import sun.misc.Signal
import java.util.concurrent.atomic.AtomicInteger

/** Exit code of a process that a second signal terminated immediately: 128 + SIGTERM. */
public const val EXIT_CODE_FORCED: Int = 143

/**
 * Handles SIGTERM and SIGINT: calls [onFirst] for the first signal and [onSecond] for every later one.
 *
 * A shutdown hook does not work here: the exit code is already fixed when it runs, and it cannot see a second signal.
 */
public class StopSignals(
    private val onFirst: () -> Unit,
    private val onSecond: () -> Unit = { Runtime.getRuntime().halt(EXIT_CODE_FORCED) },
) {
    private val received = AtomicInteger()

    /** Installs the signal handlers; they run on a JVM thread and must not block it for long. */
    public fun install() {
        SIGNALS.forEach { name -> Signal.handle(Signal(name)) { receive() } }
    }

    internal fun receive() {
        if (received.getAndIncrement() == 0) onFirst() else onSecond()
    }

    private companion object {
        val SIGNALS = listOf("TERM", "INT")
    }
}
