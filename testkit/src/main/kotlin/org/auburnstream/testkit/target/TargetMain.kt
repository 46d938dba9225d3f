package org.auburnstream.testkit.target

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

/** Runs a stand-in target until it is killed; prints `port=N` once it listens. */
public fun main(arguments: Array<String>) {
    val flags = TargetFlags()
    try {
        CmdLineParser(flags).parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println("target stand-in: ${e.message}")
        exitProcess(status = 2)
    }
    runBlocking {
        val target = TargetStandIn(
            announcement = flags.toAnnouncement(),
            daemons = flags.daemons.split(',').filter { it.isNotEmpty() },
            behaviour = flags.behaviour,
        )
        target.start()
        println("port=${target.port}")
        awaitCancellation()
    }
}
