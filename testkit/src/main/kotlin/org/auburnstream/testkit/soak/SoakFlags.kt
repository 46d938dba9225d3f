package org.auburnstream.testkit.soak

import org.kohsuke.args4j.Option

/** Command line of the soak. */
internal class SoakFlags {
    @Option(name = "--seconds", usage = "Length of the soak")
    var seconds: Int = 60

    @Option(name = "--seed", usage = "Seed of the choice of failures")
    var seed: Long = 1

    @Option(name = "--daemons", usage = "Number of daemons")
    var daemons: Int = 3

    @Option(name = "--targets", usage = "Number of targets")
    var targets: Int = 3
}
