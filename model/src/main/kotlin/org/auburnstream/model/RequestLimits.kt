package org.auburnstream.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Longest time that a request may take, whatever the settings or its caller say.
 *
 * A daemon without a lease starts no request, so after this time none of its requests is in progress; drains and
 * credits rely on that.
 */
public val LONGEST_REQUEST: Duration = 60.seconds
