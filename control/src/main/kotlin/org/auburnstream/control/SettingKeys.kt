package org.auburnstream.control

import org.auburnstream.model.LONGEST_REQUEST
import org.auburnstream.model.TeamId
import org.auburnstream.model.isValidId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Registry of all settings that operators can change at run time. */
public object SettingKeys {
    private const val MEBIBYTE = 1_048_576L
    private const val MINUTES_PER_DAY = 1_440L
    private val ServiceAndAbove = SettingLevel.downTo(SettingLevel.SERVICE)
    private val PoolAndAbove = SettingLevel.downTo(SettingLevel.POOL)
    private val RegionAndAbove = SettingLevel.downTo(SettingLevel.REGION)
    private val AnyRatio = SettingType.Ratios(0.0..1.0)

    /** Deadline of a request whose caller specifies none. */
    public val RequestDeadlineDefault: SettingKey<Duration> =
        SettingKey(
            name = "request.deadline.default",
            type = SettingType.Durations(1.milliseconds..LONGEST_REQUEST),
            default = 5.seconds,
            description = "Deadline of a request whose caller names none.",
            levels = ServiceAndAbove,
        )

    /** Maximum deadline that a caller may request. */
    public val RequestDeadlineMax: SettingKey<Duration> =
        SettingKey(
            name = "request.deadline.max",
            type = SettingType.Durations(1.milliseconds..LONGEST_REQUEST),
            default = 30.seconds,
            description = "Longest deadline that a caller may ask for.",
            levels = ServiceAndAbove,
        )

    /** Maximum size of a request body. */
    public val RequestBodyMaxBytes: SettingKey<Long> =
        SettingKey(
            name = "request.body.max-bytes",
            type = SettingType.Integers(0L..64 * MEBIBYTE),
            default = MEBIBYTE,
            unit = "bytes",
            description = "Largest body of a request; a larger one is refused before it is forwarded.",
            levels = ServiceAndAbove,
        )

    /** Maximum size of the body of a target's answer. */
    public val AnswerBodyMaxBytes: SettingKey<Long> =
        SettingKey(
            name = "answer.body.max-bytes",
            type = SettingType.Integers(0L..64 * MEBIBYTE),
            default = 4 * MEBIBYTE,
            unit = "bytes",
            description = "Largest body of a target's answer; a larger one closes the connection.",
            levels = ServiceAndAbove,
        )

    /** Maximum number of requests of one service that wait for a slot in one daemon. */
    public val QueueCapacity: SettingKey<Long> =
        SettingKey(
            name = "queue.capacity",
            type = SettingType.Integers(0L..100_000L),
            default = 256,
            unit = "requests",
            description = "Requests of one service that may wait for a slot at the same time in one daemon.",
            levels = ServiceAndAbove,
        )

    /** Maximum share of a daemon's queue memory that one service may use. */
    public val QueueShare: SettingKey<Double> =
        SettingKey(
            name = "queue.share",
            type = AnyRatio,
            default = 0.5,
            description = "Largest share of a daemon's queue memory that one service may use.",
            levels = ServiceAndAbove,
        )

    /** Maximum share of a service's queue that one team may use. */
    public val QueueTeamShare: SettingKey<Double> =
        SettingKey(
            name = "queue.team-share",
            type = AnyRatio,
            default = 0.5,
            description = "Largest share of a service's queue that one team may use.",
            levels = ServiceAndAbove,
            perTeam = true,
        )

    /** Number of allowed retries per first attempt of a request. */
    public val RetryBudgetRatio: SettingKey<Double> =
        SettingKey(
            name = "retry.budget-ratio",
            type = AnyRatio,
            default = 0.1,
            description = "Retries allowed for each request that is sent for the first time.",
            levels = ServiceAndAbove,
        )

    /** Maximum number of attempts for one request, including the first. */
    public val RetryMaxAttempts: SettingKey<Long> =
        SettingKey(
            name = "retry.max-attempts",
            type = SettingType.Integers(1L..10L),
            default = 3,
            unit = "attempts",
            description = "Largest number of attempts for one request, the first one included.",
            levels = ServiceAndAbove,
        )

    /** Maximum number of concurrent requests to one target. */
    public val TargetSlots: SettingKey<Long> =
        SettingKey(
            name = "target.slots",
            type = SettingType.Integers(0L..1_024L),
            default = 8,
            unit = "requests",
            description = "Requests sent to one target at the same time, at most what the target announces.",
        )

    /** Maximum number of connections to one target over all daemons. */
    public val TargetConnections: SettingKey<Long> =
        SettingKey(
            name = "target.connections",
            type = SettingType.Integers(1L..4_096L),
            default = 64,
            unit = "connections",
            description = "Connections to one target over all daemons, at most what the target announces.",
        )

    /** Time without an announcement after which a target receives no new requests. */
    public val TargetExpiry: SettingKey<Duration> =
        SettingKey(
            name = "target.expiry",
            type = SettingType.Durations(100.milliseconds..5.minutes),
            default = 3.seconds,
            description = "Time without an announcement after which a target gets no new work.",
        )

    /** Number of consecutive failures after which a target is ejected. */
    public val EjectionConsecutiveFailures: SettingKey<Long> =
        SettingKey(
            name = "ejection.consecutive-failures",
            type = SettingType.Integers(1L..1_000L),
            default = 5,
            unit = "failures",
            description = "Failures in a row after which a target is ejected.",
            levels = ServiceAndAbove,
        )

    /** Maximum share of a service's targets that may be ejected at the same time. */
    public val EjectionMaxRatio: SettingKey<Double> =
        SettingKey(
            name = "ejection.max-ratio",
            type = AnyRatio,
            default = 0.3,
            description = "Largest share of a service's targets that may be ejected at the same time.",
            levels = ServiceAndAbove,
        )

    /** Time before the first probe of an ejected target. */
    public val EjectionDurationBase: SettingKey<Duration> =
        SettingKey(
            name = "ejection.duration.base",
            type = SettingType.Durations(100.milliseconds..1.hours),
            default = 5.seconds,
            description = "Time before the first probe of an ejected target; it doubles with each failed probe.",
            levels = ServiceAndAbove,
        )

    /** Maximum time between probes of an ejected target. */
    public val EjectionDurationMax: SettingKey<Duration> =
        SettingKey(
            name = "ejection.duration.max",
            type = SettingType.Durations(100.milliseconds..1.hours),
            default = 2.minutes,
            description = "Longest time between probes of an ejected target.",
            levels = ServiceAndAbove,
        )

    /** Maximum share of a service's VMs that may be unavailable at the same time. */
    public val AvailabilityBudget: SettingKey<Double> =
        SettingKey(
            name = "availability.budget",
            type = AnyRatio,
            default = 0.2,
            description = "Share of a service's VMs that may be unavailable for any cause at the same time.",
            levels = ServiceAndAbove,
        )

    /** Time over which unavailability counts against the budget. */
    public val AvailabilityWindow: SettingKey<Duration> =
        SettingKey(
            name = "availability.window",
            type = SettingType.Durations(1.minutes..28.days),
            default = 1.hours,
            description = "Time over which unavailability is counted against the budget.",
            levels = ServiceAndAbove,
        )

    /** Whether maintenance waves are allowed to run. */
    public val MaintenanceEnabled: SettingKey<Boolean> =
        SettingKey(
            name = "maintenance.enabled",
            type = SettingType.Booleans,
            default = true,
            description = "Whether maintenance waves may run at all.",
            levels = PoolAndAbove,
        )

    /** Start of the daily window of maintenance waves. */
    public val MaintenanceWindowStart: SettingKey<Long> =
        SettingKey(
            name = "maintenance.window.start",
            type = SettingType.Integers(0L until MINUTES_PER_DAY),
            default = 0,
            unit = "minutes after midnight UTC",
            description = "Start of the daily window in which maintenance waves may run.",
            levels = PoolAndAbove,
        )

    /** Length of the daily window of maintenance waves. */
    public val MaintenanceWindowLength: SettingKey<Long> =
        SettingKey(
            name = "maintenance.window.length",
            type = SettingType.Integers(0L..MINUTES_PER_DAY),
            default = MINUTES_PER_DAY,
            unit = "minutes",
            description = "Length of the daily window in which maintenance waves may run.",
            levels = PoolAndAbove,
        )

    /** Days of the week on which the maintenance window opens. */
    public val MaintenanceWindowDays: SettingKey<String> =
        SettingKey(
            name = "maintenance.window.days",
            type = SettingType.Texts("three-letter days separated by commas, such as mon,tue") { isDayList(it) },
            default = "mon,tue,wed,thu,fri,sat,sun",
            description = "Days on which the window of maintenance waves opens.",
            levels = PoolAndAbove,
        )

    /** Maximum share of a service's VMs that maintenance waves may stop at the same time. */
    public val MaintenanceMaxUnavailable: SettingKey<Double> =
        SettingKey(
            name = "maintenance.max-unavailable",
            type = AnyRatio,
            default = 0.1,
            description = "Largest share of a service's VMs that maintenance waves may stop at the same time.",
            levels = ServiceAndAbove,
        )

    /** Maximum duration of a drain. */
    public val DrainTimeout: SettingKey<Duration> =
        SettingKey(
            name = "drain.timeout",
            type = SettingType.Durations(1.seconds..24.hours),
            default = 10.minutes,
            description = "Longest time that a VM may take to finish its requests before an operator is told.",
        )

    /** Time for which an idempotency key and its answer are kept. */
    public val KeyRetention: SettingKey<Duration> =
        SettingKey(
            name = "key.retention",
            type = SettingType.Durations(1.minutes..24.hours),
            default = 15.minutes,
            description = "Time that an idempotency key and its answer are remembered.",
            levels = ServiceAndAbove,
        )

    /** Maximum number of processors that the jobs of one team may use. */
    public val TeamQuotaProcessors: SettingKey<Long> =
        SettingKey(
            name = "team.quota.processors",
            type = SettingType.Integers(0L..1_000_000L),
            default = 64,
            unit = "processors",
            description = "Processors that one team's jobs may use at the same time.",
            levels = RegionAndAbove,
            perTeam = true,
        )

    /** Maximum number of accelerators that the jobs of one team may use. */
    public val TeamQuotaAccelerators: SettingKey<Long> =
        SettingKey(
            name = "team.quota.accelerators",
            type = SettingType.Integers(0L..1_000_000L),
            default = 8,
            unit = "accelerators",
            description = "Accelerators that one team's jobs may use at the same time.",
            levels = RegionAndAbove,
            perTeam = true,
        )

    /** All keys, ordered by name. */
    public val all: List<SettingKey<*>> =
        listOf(
            RequestDeadlineDefault,
            RequestDeadlineMax,
            RequestBodyMaxBytes,
            AnswerBodyMaxBytes,
            QueueCapacity,
            QueueShare,
            QueueTeamShare,
            RetryBudgetRatio,
            RetryMaxAttempts,
            TargetSlots,
            TargetConnections,
            TargetExpiry,
            EjectionConsecutiveFailures,
            EjectionMaxRatio,
            EjectionDurationBase,
            EjectionDurationMax,
            AvailabilityBudget,
            AvailabilityWindow,
            MaintenanceEnabled,
            MaintenanceWindowStart,
            MaintenanceWindowLength,
            MaintenanceWindowDays,
            MaintenanceMaxUnavailable,
            DrainTimeout,
            KeyRetention,
            TeamQuotaProcessors,
            TeamQuotaAccelerators,
        ).sortedBy { it.name }

    private val byName: Map<String, SettingKey<*>> = all.associateBy { it.name }

    /** Returns the key with the given [name], which may end in `:team`, or null if there is none. */
    public fun find(name: String): SettingKey<*>? {
        byName[name]?.let { return it }
        val separator = name.indexOf(SettingKey.TEAM_SEPARATOR)
        if (separator < 0) return null
        val team = name.substring(separator + 1)
        val key = byName[name.substring(0, separator)] ?: return null
        return if (key.perTeam && isValidId(team)) key.forTeam(TeamId(team)) else null
    }

    private fun isDayList(text: String): Boolean {
        val days = text.split(',')
        return days.all { it in Days } && days.toSet().size == days.size
    }

    private val Days = setOf("mon", "tue", "wed", "thu", "fri", "sat", "sun")
}
