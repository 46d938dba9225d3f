package org.auburnstream.model

import kotlinx.serialization.Serializable

/** Urgency class of a request or job, from least to most urgent. */
@Serializable
public enum class Urgency {
    /** Work that may be delayed until no other class needs the capacity. */
    BATCH,

    /** The default class. */
    NORMAL,

    /** Work that may displace queued work of the other classes. */
    URGENT,
}
