package org.auburnstream.control

/**
 * Condition between several settings that must hold at every node.
 *
 * @property name stable name, given in errors.
 * @property keys names of the keys that the rule reads.
 * @property explanation what must hold, for errors.
 */
public class SettingRule internal constructor(
    public val name: String,
    public val explanation: String,
    keys: List<SettingKey<*>>,
    internal val isSatisfied: (EffectiveSettings) -> Boolean,
) {
    public val keys: Set<String> = keys.map { it.name }.toSet()

    public companion object {
        private fun <T : Comparable<T>> atMost(low: SettingKey<T>, high: SettingKey<T>): SettingRule = SettingRule(
            name = "${low.name}-at-most-${high.name}",
            explanation = "${low.name} must be at most ${high.name}",
            keys = listOf(low, high),
            isSatisfied = { it[low] <= it[high] },
        )

        /** Every rule. */
        public val all: List<SettingRule> =
            listOf(
                atMost(SettingKeys.RequestDeadlineDefault, SettingKeys.RequestDeadlineMax),
                atMost(SettingKeys.EjectionDurationBase, SettingKeys.EjectionDurationMax),
                atMost(SettingKeys.MaintenanceMaxUnavailable, SettingKeys.AvailabilityBudget),
                atMost(SettingKeys.TargetSlots, SettingKeys.TargetConnections),
                SettingRule(
                    name = "key-retention-covers-deadline",
                    explanation = "key.retention must be at least request.deadline.max",
                    keys = listOf(SettingKeys.KeyRetention, SettingKeys.RequestDeadlineMax),
                    isSatisfied = { it[SettingKeys.KeyRetention] >= it[SettingKeys.RequestDeadlineMax] },
                ),
            )
    }
}
