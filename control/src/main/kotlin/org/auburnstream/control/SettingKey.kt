package org.auburnstream.control

import org.auburnstream.model.TeamId
import org.auburnstream.model.isValidId

/**
 * Typed key of an operator's setting.
 *
 * @property name stable name, as operators write it.
 * @property type type and range.
 * @property default value where no node of the path overrides it.
 * @property unit unit of the value, empty if the type says it.
 * @property description one sentence for help texts.
 * @property levels levels at which the key may be overridden; nodes below inherit.
 * @property perTeam whether the key may also be set for one team, as `name:team`.
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
     * The same setting for one [team]; it falls back to the value for all teams.
     *
     * @throws IllegalArgumentException if the setting is not kept per team or the id is invalid.
     */
    public fun forTeam(team: TeamId): SettingKey<T> {
        require(perTeam) { "Setting '$name' is not kept per team: read it without one." }
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

    /** Parses [text] to a stored value, or returns null if it is of another type or out of range. */
    public fun parse(text: String): SettingValue? = type.parse(text)?.let(type::wrap)?.takeIf(::accepts)

    /** Text of [value], which operators can give back unchanged. */
    public fun format(value: SettingValue): String = type.unwrap(value)?.let(type::format) ?: value.toString()

    /** Stored form of the default. */
    public val defaultValue: SettingValue get() = type.wrap(default)

    internal fun accepts(value: SettingValue): Boolean = type.unwrap(value) != null

    override fun toString(): String = name

    internal companion object {
        const val TEAM_SEPARATOR = ':'
    }
}
