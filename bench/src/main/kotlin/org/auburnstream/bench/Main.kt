package org.auburnstream.bench

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.system.exitProcess

/** Exit code for a wrong command line. */
private const val EXIT_USAGE = 2

private class Arguments {
    @Argument(metaVar = "EXPERIMENT", usage = "experiments to run; all if none is given")
    var names: MutableList<String> = mutableListOf()

    @Option(name = "--seed", metaVar = "N", usage = "seed of every random choice")
    var seed: Long = 1

    @Option(name = "--out", metaVar = "DIR", usage = "directory for CSV and SVG files")
    var out: String = "target/bench"

    @Option(name = "--list", usage = "list the experiments and exit")
    var list: Boolean = false
}

/** Runs experiments and writes their points as CSV, their plots as SVG and a table to the terminal. */
public fun main(args: Array<String>) {
    val arguments = Arguments()
    val parser = CmdLineParser(arguments)
    try {
        parser.parseArgument(*args)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    val known = experiments.associateBy { it.name }
    if (arguments.list) {
        known.values.forEach { println("${it.name}  ${it.description}") }
        return
    }
    val unknown = arguments.names.filter { it !in known }
    if (unknown.isNotEmpty()) {
        System.err.println("unknown experiments $unknown; known: ${known.keys}")
        exitProcess(EXIT_USAGE)
    }
    val chosen = if (arguments.names.isEmpty()) known.values else arguments.names.map(known::getValue)
    for (experiment in chosen) run(experiment, arguments.seed, Path.of(arguments.out))
    exitProcess(0)
}

private fun run(experiment: Experiment, seed: Long, directory: Path) {
    println("## ${experiment.name}: ${experiment.description} (seed $seed)\n")
    val tables = experiment.run(seed)
    for (table in tables) {
        table.writeCsv(directory)
        println("${table.name}\n\n${table.toMarkdown()}\n")
    }
    for (plot in experiment.plots) {
        val table = tables.single { it.name == plot.table }
        val fit = fitLine(table.numbers(plot.x), table.numbers(plot.y))
        table.copy(
            name = "${table.name}-${plot.y}".replace(Regex("[^A-Za-z0-9-]+"), "-"),
        ).writePlot(directory, plot.x, plot.y)
        println("fit ${plot.table}: ${plot.y} over ${plot.x}: $fit\n")
    }
}
