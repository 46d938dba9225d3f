package org.auburnstream.cli.settings

import kotlinx.serialization.SerializationException
import org.auburnstream.api.ApiJson
import org.auburnstream.api.EditRequest
import org.auburnstream.api.PreviewRequest
import org.auburnstream.cli.CliProblem
import org.auburnstream.cli.Session

/** Edits read from the command line or from a file. */
internal sealed interface EditArguments {
    class Edits(val edits: List<EditRequest>) : EditArguments

    class Wrong(val problem: CliProblem) : EditArguments

    companion object {
        /** Reads `PATH KEY=VALUE...`. */
        fun assignments(arguments: List<String>): EditArguments {
            val path = arguments.firstOrNull() ?: return wrong("No path is given", "Write PATH KEY=VALUE.")
            if (arguments.size < 2) return wrong("No value is given for '$path'", "Write PATH KEY=VALUE.")
            val without = arguments.drop(1).firstOrNull { '=' !in it }
            if (without != null) return wrong("'$without' is no assignment", "Write KEY=VALUE.")
            return Edits(
                arguments.drop(1).map { EditRequest(path, it.substringBefore('='), it.substringAfter('=')) },
            )
        }

        /** Reads `PATH KEY...`, each key to be unset. */
        fun removals(arguments: List<String>): EditArguments {
            if (arguments.size < 2) return wrong("No path or no key is given", "Write PATH KEY.")
            return Edits(arguments.drop(1).map { EditRequest(arguments.first(), it, value = null) })
        }

        /** Reads the edits in the JSON file [path]. */
        fun file(session: Session, path: String): EditArguments {
            val text = session.readFile(path) ?: return wrong("File '$path' cannot be read", "Give a readable file.")
            return try {
                Edits(ApiJson.decodeFromString(PreviewRequest.serializer(), text).edits)
            } catch (e: SerializationException) {
                wrong("File '$path' holds no edits: ${e.message?.lineSequence()?.first()}", FILE_REMEDY)
            } catch (_: IllegalArgumentException) {
                wrong("File '$path' holds no edits", FILE_REMEDY)
            }
        }

        private fun wrong(detail: String, remedy: String): EditArguments = Wrong(CliProblem.Usage(detail, remedy))

        private const val FILE_REMEDY = """Write {"edits":[{"path":"/","key":"...","value":"..."}]}."""
    }
}
