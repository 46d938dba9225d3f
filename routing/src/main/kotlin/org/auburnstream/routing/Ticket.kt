package org.auburnstream.routing

import kotlin.jvm.JvmInline

/** Identifies a request within one run of a daemon process. */
@JvmInline
public value class Ticket(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Attempt number of a request; the first send is attempt 1. */
@JvmInline
public value class Attempt(public val value: Int) {
    override fun toString(): String = value.toString()

    internal fun next(): Attempt = Attempt(value + 1)

    internal companion object {
        val None: Attempt = Attempt(0)
    }
}
