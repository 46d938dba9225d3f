package org.auburnstream.control

/**
 * Settings as they apply at one node, each with the node that it comes from.
 *
 * Immutable, and shared between nodes that override nothing.
 */
public class EffectiveSettings internal constructor(private val overrides: Map<String, Override>) {
    /** The value of [key]. */
    public operator fun <T : Any> get(key: SettingKey<T>): T {
        val own = overrides[key.name]?.let { key.type.unwrap(it.value) }
        return own ?: key.fallback?.let { get(it) } ?: key.default
    }

    /** The stored value of [key] and where it comes from. */
    public fun origin(key: SettingKey<*>): EffectiveValue {
        val own = overrides[key.name]?.takeIf { key.accepts(it.value) }
        if (own != null) return EffectiveValue(own.value, own.path)
        return key.fallback?.let(::origin) ?: EffectiveValue(key.defaultValue, null)
    }

    /** Names of the keys that some node of the path overrides. */
    public val overriddenNames: Set<String> get() = overrides.keys

    internal fun withOverrides(path: SettingsPath, own: Map<String, SettingValue>): EffectiveSettings {
        if (own.isEmpty()) return this
        val merged = HashMap(overrides)
        own.forEach { (name, value) -> merged[name] = Override(value, path) }
        return EffectiveSettings(merged)
    }

    internal class Override(val value: SettingValue, val path: SettingsPath)

    public companion object {
        /** Every setting at its default. */
        public val Default: EffectiveSettings = EffectiveSettings(emptyMap())
    }
}

/**
 * Effective value of one setting.
 *
 * @property origin node that sets it, or null for the registry's default.
 */
public data class EffectiveValue(val value: SettingValue, val origin: SettingsPath?)
