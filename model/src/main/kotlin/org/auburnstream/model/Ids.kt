package org.auburnstream.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Maximum length of an id in characters; it bounds the size of messages that contain ids. */
public const val MAX_ID_LENGTH: Int = 128

/** Identifies a region. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a rack inside a data centre. */
@Serializable
@JvmInline
public value class RackId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a VM that runs targets or jobs. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a daemon. Each entry VM runs one daemon. */
@Serializable
@JvmInline
public value class DaemonId(public val value: String) : Comparable<DaemonId> {
    override fun compareTo(other: DaemonId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a pool of VMs. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a service that the VMs of a pool run. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) : Comparable<ServiceId> {
    override fun compareTo(other: ServiceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a team. Quotas and fair shares of callers are assigned by team. */
@Serializable
@JvmInline
public value class TeamId(public val value: String) : Comparable<TeamId> {
    override fun compareTo(other: TeamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a job that runs on workers. */
@Serializable
@JvmInline
public value class JobId(public val value: String) : Comparable<JobId> {
    override fun compareTo(other: JobId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a maintenance wave. */
@Serializable
@JvmInline
public value class WaveId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of a caller, for logs and traces. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Key that a caller assigns to a request so that a retry of it is recognized. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one change by an operator; a retry of the change has the same id. */
@Serializable
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}

/** Name of the operator who made a change. */
@Serializable
@JvmInline
public value class OperatorId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a replicated group; a daemon can be a member of several groups. */
@Serializable
@JvmInline
public value class GroupId(public val value: String) {
    override fun toString(): String = value
}

/** Position of an entry in the replicated log; the first entry has index 1. */
@Serializable
@JvmInline
public value class LogIndex(public val value: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Returns the index [count] entries after this one. */
    public operator fun plus(count: Long): LogIndex = LogIndex(value + count)

    /** Returns the index [count] entries before this one. */
    public operator fun minus(count: Long): LogIndex = LogIndex(value - count)
}

/** Version of the settings tree; it increases by one with each accepted change. */
@Serializable
@JvmInline
public value class SettingsVersion(public val value: Long) : Comparable<SettingsVersion> {
    override fun compareTo(other: SettingsVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Returns whether [value] is a valid id: 1 to [MAX_ID_LENGTH] letters, digits, `.`, `_` or `-`. */
public fun isValidId(value: String): Boolean =
    value.length in 1..MAX_ID_LENGTH && value.all { it.isLetterOrDigit() || it in "._-" }
