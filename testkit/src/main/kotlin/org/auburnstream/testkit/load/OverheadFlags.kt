package org.auburnstream.testkit.load

import org.kohsuke.args4j.Option

/** Command line of the overhead measurement. */
internal class OverheadFlags {
    @Option(name = "--connections", usage = "Numbers of connections, comma-separated")
    var connections: String = "1,8,32"

    @Option(name = "--seconds", usage = "Length of each phase, 1 to 60")
    var seconds: Int = 10

    @Option(name = "--warm-up-seconds", usage = "Length of the warm-up of each way, 1 to 60")
    var warmUpSeconds: Int = 10

    @Option(name = "--body-bytes", usage = "Length of a request's body")
    var bodyBytes: Int = 256

    @Option(name = "--daemons", usage = "Daemons of the deployment; the load goes through the first")
    var daemons: Int = 1
}
