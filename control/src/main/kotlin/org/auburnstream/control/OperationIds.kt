package org.auburnstream.control

import org.auburnstream.model.OperationId
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Creates and parses operation ids of the form `<milliseconds since 1970>-<16 hex digits>`.
 *
 * The id contains its creation time, so replicas can drop an operation after [OperationPolicy.window] and still never
 * execute it twice.
 */
public object OperationIds {
    private const val SEPARATOR = '-'
    private const val HEX_RADIX = 16
    private const val RANDOM_DIGITS = 16
    private const val MAX_TIME_DIGITS = 15

    /** Returns a new id with the creation time [at] and 64 bits from [random]. */
    public fun create(at: Instant, random: Random): OperationId {
        val suffix = random.nextLong().toULong().toString(HEX_RADIX).padStart(RANDOM_DIGITS, '0')
        return OperationId("${at.toEpochMilliseconds()}$SEPARATOR$suffix")
    }

    /** Returns the creation time of [operation], or null if the id is malformed. */
    public fun createdAt(operation: OperationId): Instant? {
        val parts = operation.value.split(SEPARATOR)
        if (parts.size != 2) return null
        val (time, suffix) = parts
        val wellFormed =
            time.length in 1..MAX_TIME_DIGITS && time.all { it in '0'..'9' } &&
                suffix.length == RANDOM_DIGITS && suffix.all { it in '0'..'9' || it in 'a'..'f' }
        return if (wellFormed) Instant.fromEpochMilliseconds(time.toLong()) else null
    }
}
