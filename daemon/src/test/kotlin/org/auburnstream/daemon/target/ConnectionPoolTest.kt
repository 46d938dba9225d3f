package org.auburnstream.daemon.target

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.test.Test

/** Linearizability of the pool; each operation is one call. */
class ConnectionPoolTest {
    private val pool = ConnectionPool<Int>()

    @Operation
    fun acquire(): String = pool.acquire(LIMIT).toString()

    @Operation
    fun release(): Boolean = pool.release(0)

    @Operation
    fun closed() = pool.closed()

    @Operation
    fun retire(): Int = pool.retire().size

    @Operation
    fun discard(): Boolean = pool.discard()

    @Operation
    fun openCount(): Int = pool.openCount

    @Test
    fun modelCheck() = ModelCheckingOptions().iterations(10).invocationsPerIteration(200).check(this::class)

    @Test
    fun stress() = StressOptions().iterations(5).invocationsPerIteration(200).check(this::class)

    private companion object {
        const val LIMIT = 2
    }
}
