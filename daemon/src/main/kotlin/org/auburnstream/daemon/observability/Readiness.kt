package org.auburnstream.daemon.observability

/** Whether the balancer should send callers to this daemon. */
public sealed interface Readiness {
    /** New requests are taken in. */
    public data object Ready : Readiness

    /** New requests are not wanted because of [reason]. */
    public data class Unready(val reason: UnreadyReason) : Readiness
}

/** Why a daemon is not ready. */
public enum class UnreadyReason {
    /** The daemon has not yet received settings. */
    STARTING,

    /** The settings lease has run out, so that the settings may be old. */
    SETTINGS_LEASE_EXPIRED,

    /** The daemon is stopping. */
    STOPPING,
}
