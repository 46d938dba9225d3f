package org.auburnstream.cli

/**
 * Registration of a subcommand.
 *
 * @property words words that select it, such as `settings set`.
 * @property summary one line for the list of commands.
 * @property description what the command does, for its help.
 * @property examples command lines for its help.
 * @property create makes the command, before its options are read into it.
 */
public class CommandSpec(
    public val words: String,
    public val summary: String,
    public val description: String,
    public val examples: List<String> = emptyList(),
    public val create: () -> Command,
)
