package org.auburnstream.daemon.observability

import sun.misc.Signal
import java.util.concurrent.atomic.AtomicInteger

/** Exit code of a process that a second signal ended at once. */
public const val EXIT_CODE_FORCED: Int = 143

/**
 * Turns SIGTERM and SIGINT into calls: [onFirst] for the first signal, [onSecond] for every later one.
 *
 * A shutdown hook cannot do this: it runs only when the exit code is already fixed, and a second signal is lost on it.
 */
public class StopSignals(
    private val onFirst: () -> Unit,
    private val onSecond: () -> Unit = { Runtime.getRuntime().halt(EXIT_CODE_FORCED) },
) {
    private val received = AtomicInteger()

    /** Installs the handlers; the calls come on a thread of the runtime and must not block it for long. */
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
