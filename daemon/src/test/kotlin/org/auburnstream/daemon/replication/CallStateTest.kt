package org.auburnstream.daemon.replication

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test

/**
 * Guards against races between a caller that abandons its call and the coroutine that sends the request, which could
 * send a request already reported as not sent.
 */
class CallStateTest {
    private val state = CallState()

    @Operation
    fun markSent() = state.markSent()

    @Operation
    fun markUnsent() = state.markUnsent()

    @Operation
    fun abandon() = state.abandon()

    @Operation
    fun isAbandoned() = state.isAbandoned

    @Test
    fun everyOperationIsAtomic() = ModelCheckingOptions().iterations(10).invocationsPerIteration(200).check(this::class)
}
