package org.auburnstream.cli

import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs `auburnctl`. */
public fun main(arguments: Array<String>) {
    val auburnctl =
        Auburnctl(
            out = ::println,
            err = System.err::println,
            environment = System::getenv,
            files = ::readFile,
        )
    val exit = runBlocking { auburnctl.run(arguments.toList()) }
    exitProcess(exit.code)
}

private fun readFile(path: String): String? = try {
    Files.readString(Path.of(path))
} catch (_: IOException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
