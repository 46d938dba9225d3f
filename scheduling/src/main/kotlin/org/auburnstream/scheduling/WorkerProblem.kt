package org.auburnstream.scheduling

/**
 * Reason why a worker's profile cannot be used; [message] names the invalid value.
 *
 * A profile may come from another writer than a worker. It is stored, logged and compared with all others, so each
 * value is bounded before it is accepted.
 */
public sealed interface WorkerProblem {
    /** Message for the sender. */
    public val message: String

    /** An id, a label or the address is too long: it has [length] characters. */
    public data class LongText(val length: Int) : WorkerProblem {
        override val message: String
            get() = "a text has $length characters; send at most $MAX_TEXT_LENGTH"
    }

    /** The worker has too many labels. */
    public data class LabelCount(val labels: Int) : WorkerProblem {
        override val message: String
            get() = "the worker has $labels labels; send at most $MAX_LABELS"
    }

    /** The address has no port that can be connected to. */
    public data class InvalidPort(val address: String) : WorkerProblem {
        override val message: String
            get() = "address '$address' has no port in 1..$MAX_PORT"
    }

    /** The capacity is negative, or beyond that of any VM. */
    public data class InvalidCapacity(val amount: Long) : WorkerProblem {
        override val message: String
            get() = "the capacity has an amount of $amount; send 0 to $MAX_AMOUNT"
    }

    /** The start of the incarnation lies before 1970 or in the future. */
    public data class InvalidStart(val startedMs: Long) : WorkerProblem {
        override val message: String
            get() = "the worker started at $startedMs, in Unix milliseconds; send a time that has passed"
    }
}

/** Returns the first problem that makes this profile unusable at [nowMs] (Unix milliseconds), or null. */
public fun WorkerProfile.problem(nowMs: Long): WorkerProblem? {
    val texts = labels +
        listOfNotNull(incarnation.worker.value, service.value, dataCentre.value, vm?.value, address)
    val longest = texts.maxOf { it.length }
    val amounts = listOf(capacity.millicores, capacity.memoryMegabytes, capacity.accelerators.toLong())
    val amount = amounts.firstOrNull { it !in 0..MAX_AMOUNT }
    return when {
        longest > MAX_TEXT_LENGTH -> WorkerProblem.LongText(longest)
        labels.size > MAX_LABELS -> WorkerProblem.LabelCount(labels.size)
        address.substringAfterLast(':').toIntOrNull().let { it == null || it !in 1..MAX_PORT } ->
            WorkerProblem.InvalidPort(address)
        amount != null -> WorkerProblem.InvalidCapacity(amount)
        // A start in the future would replace every later incarnation of the worker.
        incarnation.startedMs !in 0..nowMs + MAX_CLOCK_ERROR_MS ->
            WorkerProblem.InvalidStart(incarnation.startedMs)
        else -> null
    }
}

private const val MAX_TEXT_LENGTH = 256
private const val MAX_LABELS = 64
private const val MAX_PORT = 65_535

/** In thousandths of a processor, MiB or accelerators; the sum over all workers of a deployment stays in 64 bits. */
private const val MAX_AMOUNT = 1_000_000_000L

/** Many times the error of a clock, and far less than the time until a worker is replaced. */
private const val MAX_CLOCK_ERROR_MS = 60_000L
