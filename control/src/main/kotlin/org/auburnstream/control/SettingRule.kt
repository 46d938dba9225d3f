package org.auburnstream.control

/**
 * Constraint on the effective values of several settings that every node must satisfy.
 *
 * @property name stable name used in errors.
 * @property keys names of the keys that the rule reads.
 * @property explanation description of the constraint for errors.
 * @property isSatisfied returns whether the given effective settings satisfy the rule.
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

        /** All rules. */
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
