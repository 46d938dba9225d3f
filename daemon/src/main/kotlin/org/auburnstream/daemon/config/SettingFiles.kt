package org.auburnstream.daemon.config

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Checks the files and folders that the daemon needs at startup without changing any of them. */
internal fun checkFiles(settings: DaemonSettings) {
    val definitions = DaemonSettingDefinitions
    settings.dataFolder?.let { folder ->
        if (!isWritableOrCreatable(folder)) {
            fail(SettingsError.UnwritableFolder(definitions.dataFolder.flag, folder.toString()))
        }
    }
    settings.portsFile?.let { file -> checkParentIsWritable(definitions.portsFile, file) }
    (settings.traceExport as? TraceExport.ToFile)?.let { checkParentIsWritable(definitions.traceExport, it.path) }
    if (!isReadableAndNotBlank(settings.operatorTokenFile)) {
        fail(SettingsError.UnreadableFile(definitions.operatorTokenFile.flag, settings.operatorTokenFile.toString()))
    }
}

private fun checkParentIsWritable(definition: SettingDefinition<*>, file: Path) {
    val parent = file.toAbsolutePath().parent
    if (parent == null || !Files.isDirectory(parent) || !Files.isWritable(parent)) {
        fail(SettingsError.UnwritableFolder(definition.flag, parent.toString()))
    }
}

/** Returns whether [folder] is writable or can be created in its nearest existing ancestor. */
private fun isWritableOrCreatable(folder: Path): Boolean {
    val existing = generateSequence(folder.toAbsolutePath()) { it.parent }.firstOrNull { Files.exists(it) }
    return existing != null && Files.isDirectory(existing) && Files.isWritable(existing)
}

private fun isReadableAndNotBlank(file: Path): Boolean = try {
    Files.newBufferedReader(file).useLines { lines -> lines.any { it.isNotBlank() } }
} catch (_: IOException) {
    false
}
