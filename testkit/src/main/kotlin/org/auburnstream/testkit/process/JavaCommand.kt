package org.auburnstream.testkit.process

import java.nio.file.Path

/** Command lines that run a main class of this build in a virtual machine of its own. */
public object JavaCommand {
    /** Flags of the virtual machine, the same as those of the launchers. */
    public val flags: List<String> = listOf(
        "-XX:-UsePerfData",
        "-XX:+UseSerialGC",
        "-Xmx192m",
        "-Xss512k",
        "-Xshare:auto",
    )

    /** Returns the command that runs [mainClass] with [arguments] on the class path of this process. */
    public fun of(mainClass: String, arguments: List<String>, flags: List<String> = this.flags): List<String> =
        listOf(executable()) + flags + addedFlags() + listOf("-cp", classPath(), mainClass) + arguments

    /** Flags of the variable `JAVA_OPTS`, which the launchers add as well. */
    private fun addedFlags(): List<String> = System.getenv("JAVA_OPTS").orEmpty().split(' ').filter { it.isNotEmpty() }

    private fun executable(): String = Path.of(System.getProperty("java.home"), "bin", "java").toString()

    /** Under Surefire `java.class.path` names only its own archive. */
    private fun classPath(): String =
        System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
}
