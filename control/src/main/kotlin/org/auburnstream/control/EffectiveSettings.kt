package org.auburnstream.control

/**
 * Effective settings of one node, each with the node that defines its value.
 *
 * Immutable. A node without overrides shares the instance of its parent.
 */
public class EffectiveSettings internal constructor(private val overrides: Map<String, Override>) {
    /** Returns the effective value of [key]. */
    public operator fun <T : Any> get(key: SettingKey<T>): T {
        val own = overrides[key.name]?.let { key.type.unwrap(it.value) }
        return own ?: key.fallback?.let { get(it) } ?: key.default
    }

    /** Returns the stored form of the effective value of [key] and the node that defines it. */
    public fun origin(key: SettingKey<*>): EffectiveValue {
        val own = overrides[key.name]?.takeIf { key.accepts(it.value) }
        if (own != null) return EffectiveValue(own.value, own.path)
        return key.fallback?.let(::origin) ?: EffectiveValue(key.defaultValue, null)
    }

    /** Names of the keys that are overridden at this node or at one of its ancestors. */
    public val overriddenNames: Set<String> get() = overrides.keys

    /** Returns the effective settings of the child node [path] with the overrides [own]. */
    internal fun withOverrides(path: SettingsPath, own: Map<String, SettingValue>): EffectiveSettings {
        if (own.isEmpty()) return this
        val merged = HashMap(overrides)
        own.forEach { (name, value) -> merged[name] = Override(value, path) }
        return EffectiveSettings(merged)
    }

    /** Overriding value and the node that defines it. */
    internal class Override(val value: SettingValue, val path: SettingsPath)

    public companion object {
        /** Settings without overrides: every key has its default value. */
        public val Default: EffectiveSettings = EffectiveSettings(emptyMap())
    }
}

/**
 * Effective value of one setting.
 *
 * @property origin node that defines the value, or null if it is the default of the key.
 */
public data class EffectiveValue(val value: SettingValue, val origin: SettingsPath?)
