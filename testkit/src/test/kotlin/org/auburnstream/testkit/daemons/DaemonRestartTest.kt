package org.auburnstream.testkit.daemons

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

class DaemonRestartTest {
    @TempDir
    lateinit var folder: Path

    /** The target is idle at the others, so nothing but the restart makes them report their slots again. */
    @Test
    fun everyDaemonServesAgainSoonAfterItsRestart() = withDaemons(folder, daemons = 3) { (deployment, _) ->
        repeat(3) { daemon ->
            deployment.start(daemon).awaitReady()
            deployment.awaitAnswer(daemon, "/print/again", timeout = 30.seconds)
        }
    }
}
