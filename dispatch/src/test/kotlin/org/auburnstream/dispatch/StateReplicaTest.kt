package org.auburnstream.dispatch

import org.auburnstream.model.LogIndex
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.CatalogDocument
import org.auburnstream.scheduling.Record
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.ServiceTerms
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a catalog that is lost or changed by the log, a snapshot, or a build that stored it otherwise. */
class StateReplicaTest {
    private val catalog = Catalog(version = 7, queues = emptyList(), services = listOf(ServiceTerms(ServiceId("s"))))

    @Test
    fun aCatalogThatComesFromTheLogOrASnapshotIsNotTheOneAccepted() {
        val first = replica()
        val record = Record.CatalogReplaced(catalog.version, CatalogDocument.of("text of 7"), catalog)
        first.apply(LogIndex(1), first.encode(RecordBatch(1_000, listOf(record))))
        val second = replica().apply { restore(LogIndex(1), first.snapshot()) }

        for (replica in listOf(first, second)) {
            assertEquals(catalog, replica.state.catalog)
            assertEquals("text of 7", replica.state.document)
        }
    }

    @Test
    fun aCatalogThatAnEarlierBuildStoredIsLost() {
        val replica = replica()
        val record = Record.CatalogAccepted(catalog.copy(version = 6), "text of 6")
        replica.apply(LogIndex(1), replica.encode(RecordBatch(1_000, listOf(record))))

        assertEquals(6L to "text of 6", replica.state.catalog?.version to replica.state.document)
    }

    private fun replica() = StateReplica(
        SchedulerState(retentionMs = 1_000, decodeCatalog = { if (it == "text of 7") catalog else error(it) }),
    ) { MonotonicTime.Zero }
}
