package org.auburnstream.testkit.load

import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a process has used, as Linux reports it below `/proc`. */
public data class ProcessUsage(val processorTime: Duration, val residentBytes: Long) {
    public companion object {
        private const val MILLISECONDS_PER_TICK = 10
        private const val BYTES_PER_KIBIBYTE = 1024L

        // Positions after the command's closing parenthesis; see proc(5).
        private const val USER_TICKS = 11
        private const val SYSTEM_TICKS = 12

        /** Reads the usage of the process [pid]. */
        public fun read(pid: Long): ProcessUsage {
            val folder = Path.of("/proc", pid.toString())
            val fields = Files.readString(folder.resolve("stat")).substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val resident = Files.readAllLines(folder.resolve("status")).first { it.startsWith("VmRSS:") }
            return ProcessUsage(
                processorTime = (ticks * MILLISECONDS_PER_TICK).milliseconds,
                residentBytes = resident.filter { it.isDigit() }.toLong() * BYTES_PER_KIBIBYTE,
            )
        }
    }
}
