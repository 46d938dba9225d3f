package org.auburnstream.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Maximum duration of a request, regardless of the settings and of the deadline that the caller requests.
 *
 * A daemon without a lease starts no request. So once this time has passed after the end of its lease, none of its
 * requests is in progress. Drains and credits rely on this bound.
 */
public val LONGEST_REQUEST: Duration = 60.seconds
