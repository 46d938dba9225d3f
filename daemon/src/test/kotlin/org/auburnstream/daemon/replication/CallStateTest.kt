package org.auburnstream.daemon.replication

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.test.Test

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
