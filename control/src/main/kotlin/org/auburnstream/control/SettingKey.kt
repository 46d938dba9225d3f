package org.auburnstream.control

import org.auburnstream.model.TeamId
import org.auburnstream.model.isValidId

/**
 * Typed key of a setting, with its type, default value and the levels at which operators may override it.
 *
 * @property name stable name that operators use.
 * @property type type and range.
 * @property default value that applies where neither the node nor an ancestor overrides it.
 * @property unit unit of the value, or an empty string if the type implies it.
 * @property description one sentence for help texts.
 * @property levels levels at which the key may be overridden; descendant nodes inherit the value.
 * @property perTeam whether the key may also be set for a single team, as `name:team`.
 * @property fallback key whose value applies where this key is not overridden.
 */
public class SettingKey<T : Any> internal constructor(
    public val name: String,
    public val type: SettingType<T>,
    public val default: T,
    public val description: String,
    public val unit: String = "",
    public val levels: Set<SettingLevel> = SettingLevel.All,
    public val perTeam: Boolean = false,
    internal val fallback: SettingKey<T>? = null,
) {
    /**
     * Returns the key of this setting for [team], which falls back to the value for all teams.
     *
     * @throws IllegalArgumentException if the setting cannot be set per team or the team id is invalid.
     */
    public fun forTeam(team: TeamId): SettingKey<T> {
        require(perTeam) { "Setting '$name' cannot be set per team: use it without a team." }
        require(isValidId(team.value)) { "Invalid team id '$team': use letters, digits, '.', '_' or '-'." }
        return SettingKey(
            name = "$name$TEAM_SEPARATOR$team",
            type = type,
            default = default,
            description = description,
            unit = unit,
            levels = levels,
            fallback = this,
        )
    }

    /** Parses [text] into a stored value, or returns null if it has the wrong type or is out of range. */
    public fun parse(text: String): SettingValue? = type.parse(text)?.let(type::wrap)?.takeIf(::accepts)

    /** Returns [value] as text that [parse] accepts. */
    public fun format(value: SettingValue): String = type.unwrap(value)?.let(type::format) ?: value.toString()

    /** Stored form of [default]. */
    public val defaultValue: SettingValue get() = type.wrap(default)

    internal fun accepts(value: SettingValue): Boolean = type.unwrap(value) != null

    override fun toString(): String = name

    internal companion object {
        const val TEAM_SEPARATOR = ':'
    }
}
