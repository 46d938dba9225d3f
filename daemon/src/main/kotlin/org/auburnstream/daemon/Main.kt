package org.auburnstream.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import org.auburnstream.consensus.Incarnation
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.config.SettingsError
import org.auburnstream.daemon.config.SettingsResult
import org.auburnstream.daemon.config.StartCommand
import org.auburnstream.daemon.config.loadSettings
import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.observability.StopResult
import org.auburnstream.daemon.observability.StopSignals
import org.auburnstream.daemon.observability.configureLogging
import org.auburnstream.daemon.operator.TokenTable
import org.auburnstream.storage.DiskFolder
import org.auburnstream.storage.FileReplicaStore
import org.auburnstream.storage.MemoryReplicaStore
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StoreResult
import java.security.SecureRandom
import kotlin.io.path.readText
import kotlin.random.asKotlinRandom
import kotlin.system.exitProcess

/** Exit code of a daemon that failed to start or to stop gracefully. */
private const val EXIT_FAILED = 1

/** Starts a daemon with the settings from the command line and the environment. */
public fun main(args: Array<String>) {
    when (val result = loadSettings(args.asList(), System.getenv())) {
        is SettingsResult.Invalid -> {
            System.err.println(result.error.toLine())
            exitProcess(SettingsError.EXIT_CODE)
        }

        is SettingsResult.Valid -> run(result.command)
    }
}

private fun run(command: StartCommand) {
    when (command) {
        is StartCommand.Print -> print(command.text)
        is StartCommand.Check -> println("settings are valid")
        is StartCommand.Run -> exitProcess(runDaemon(command.settings))
    }
}

/** Runs the daemon until a stop signal arrives and returns the exit code. */
private fun runDaemon(settings: DaemonSettings): Int {
    configureLogging(settings)
    val log = EventLog.of("daemon")
    val tokens =
        when (val parsed = TokenTable.parse(settings.operatorTokenFile.readText())) {
            is TokenTable.Result.Loaded -> parsed.table
            is TokenTable.Result.Refused -> {
                val detail = "${settings.operatorTokenFile} line ${parsed.line}: ${parsed.reason}"
                System.err.println("auburnstreamd: --operator-token-file: $detail; write one operator:token a line")
                return SettingsError.EXIT_CODE
            }
        }
    val stores =
        when (val opened = openStores(settings)) {
            is StoreResult.Done -> opened.value
            is StoreResult.Failed -> {
                log.error("store_refused", LogKeys.Detail of opened.error.message)
                return EXIT_FAILED
            }
        }
    return runBlocking { runUntilSignal(Daemon(settings, tokens, stores), log) }
}

private suspend fun runUntilSignal(daemon: Daemon, log: EventLog): Int {
    val stopRequested = CompletableDeferred<Unit>()
    StopSignals(onFirst = { stopRequested.complete(Unit) }).install()
    when (val started = daemon.start()) {
        is StoreResult.Done -> {
            log.info("started", LogKeys.Detail of started.value.toText().trim().replace('\n', ' '))
        }

        is StoreResult.Failed -> {
            log.error("start_failed", LogKeys.Detail of started.error.message)
            return EXIT_FAILED
        }
    }
    stopRequested.await()
    log.info("stopping")
    return if (daemon.stop() == StopResult.DRAINED) 0 else EXIT_FAILED
}

/** Opens the stores of this daemon's replicated groups, in the data folder if one is set and otherwise in memory. */
private fun openStores(settings: DaemonSettings): StoreResult<GroupStores> {
    val control = openStore(settings, "control")
    if (control !is StoreResult.Done) return control as StoreResult.Failed
    val ledger = openStore(settings, "ledger")
    if (ledger !is StoreResult.Done) return ledger as StoreResult.Failed
    return StoreResult.Done(GroupStores(control.value, ledger.value))
}

/** Opens one store. Its incarnation must never repeat, so it comes from the system's entropy and not from the seed. */
private fun openStore(settings: DaemonSettings, name: String): StoreResult<ReplicaStore> {
    val random = SecureRandom().asKotlinRandom()
    val folder = settings.dataFolder ?: return StoreResult.Done(MemoryReplicaStore(Incarnation(random.nextLong())))
    return when (val opened = DiskFolder.open(folder.resolve(name))) {
        is StoreResult.Done -> FileReplicaStore.open(opened.value, random)
        is StoreResult.Failed -> opened
    }
}
