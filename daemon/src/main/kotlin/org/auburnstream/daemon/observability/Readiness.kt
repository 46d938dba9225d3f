package org.auburnstream.daemon.observability

/** Whether the load balancer should send requests to this daemon. */
public sealed interface Readiness {
    /** The daemon accepts new requests. */
    public data object Ready : Readiness

    /** The load balancer should send no new requests because of [reason]. */
    public data class Unready(val reason: UnreadyReason) : Readiness
}

/** Reason why a daemon is not ready. */
public enum class UnreadyReason {
    /** The daemon has not yet received settings. */
    STARTING,

    /** The settings lease has expired, so the settings may be outdated. */
    SETTINGS_LEASE_EXPIRED,

    /** The daemon is stopping. */
    STOPPING,
}
