package org.auburnstream.routing

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test

class LincheckSmokeTest {
    private val counter = AtomicInteger()

    @Operation
    fun increment() = counter.incrementAndGet()

    @Test
    fun modelCheck() = ModelCheckingOptions().iterations(5).invocationsPerIteration(100).check(this::class)
}
