package org.auburnstream.daemon.config

/** Action that the command line requests. */
public sealed interface StartCommand {
    /** Runs the daemon with [settings]. */
    public data class Run(val settings: DaemonSettings) : StartCommand

    /** Reports that [settings] are valid and exits. */
    public data class Check(val settings: DaemonSettings) : StartCommand

    /** Prints [text] and exits. */
    public data class Print(val text: String) : StartCommand
}

/** Result of loading the settings. */
public sealed interface SettingsResult {
    /** The settings are valid; [command] is to be executed. */
    public data class Valid(val command: StartCommand) : SettingsResult

    /** The settings are invalid; the daemon must not start. */
    public data class Invalid(val error: SettingsError) : SettingsResult
}

/**
 * Loads the settings from [arguments] and, for those not given there, from [environment].
 *
 * Only the first error is reported. No file is changed.
 */
public fun loadSettings(arguments: List<String>, environment: Map<String, String>): SettingsResult = try {
    SettingsResult.Valid(readCommand(arguments, environment))
} catch (e: SettingsException) {
    SettingsResult.Invalid(e.error)
}

/** Propagates the first error to [loadSettings], which catches it; it never leaves this package. */
internal class SettingsException(val error: SettingsError) : Exception(error.toLine())

internal fun fail(error: SettingsError): Nothing = throw SettingsException(error)

private fun readCommand(arguments: List<String>, environment: Map<String, String>): StartCommand {
    val flags = parseFlags(arguments)
    return when {
        flags.help -> StartCommand.Print(helpText())
        flags.version -> StartCommand.Print("auburnstreamd ${productVersion()}\n")
        else -> {
            val settings = readSettings(SettingValues(flags.values, environment))
            checkFiles(settings)
            if (flags.check) StartCommand.Check(settings) else StartCommand.Run(settings)
        }
    }
}

private fun readSettings(values: SettingValues): DaemonSettings = with(DaemonSettingDefinitions) {
    val self = values.required(id)
    val settings = DaemonSettings(
        id = self,
        region = values.required(region),
        dataCentre = values.required(dataCentre),
        operatorTokenFile = values.required(operatorTokenFile),
        voters = values.required(voters).toSet(),
        peers = values.required(peers).filter { it.id != self },
        bindAddress = values.required(bindAddress),
        ports = readPorts(values),
        portsFile = values.optional(portsFile),
        dataFolder = values.optional(dataFolder),
        seed = values.required(seed).takeIf { it != 0L } ?: self.value.hashCode().toLong(),
        limits = readLimits(values),
        unreadyPeriod = values.required(unreadyPeriod),
        drainTimeout = values.required(drainTimeout),
        logLevel = values.required(logLevel),
        traceExport = values.required(traceExport),
    )
    checkVoters(settings)
    settings
}

private fun readPorts(values: SettingValues): ListenerPorts = with(DaemonSettingDefinitions) {
    ListenerPorts(
        callers = values.required(callerPort),
        operators = values.required(operatorPort),
        targets = values.required(targetPort),
        peers = values.required(peerPort),
        health = values.required(healthPort),
    )
}

private fun readLimits(values: SettingValues): ListenerLimits = with(DaemonSettingDefinitions) {
    ListenerLimits(
        headerBytes = values.required(maxHeaderBytes),
        bodyBytes = values.required(maxBodyBytes),
        connections = values.required(maxConnections),
    )
}

private fun checkVoters(settings: DaemonSettings) {
    val voters = DaemonSettingDefinitions.voters
    if (settings.voters.isEmpty()) fail(SettingsError.WrongValue(voters.flag, "", voters.unit, voters.range))
    val idsWithAddress = settings.peers.map { it.id }.toSet() + settings.id
    val missing = settings.voters.find { it !in idsWithAddress }
    if (missing != null) fail(SettingsError.MissingPeer(voters.flag, missing.value))
    if (settings.isInitialVoter && settings.dataFolder == null) {
        fail(SettingsError.VoterWithoutDataFolder(DaemonSettingDefinitions.dataFolder.flag, settings.id.value))
    }
}
