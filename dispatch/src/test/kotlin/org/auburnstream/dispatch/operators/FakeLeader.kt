package org.auburnstream.dispatch.operators

import org.auburnstream.dispatch.LeaderAccess
import org.auburnstream.model.MonotonicTime
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId
import org.auburnstream.scheduling.Action
import org.auburnstream.scheduling.CallId
import org.auburnstream.scheduling.Catalog
import org.auburnstream.scheduling.Coordinator
import org.auburnstream.scheduling.Event
import org.auburnstream.scheduling.KeyDigest
import org.auburnstream.scheduling.Queue
import org.auburnstream.scheduling.QueueName
import org.auburnstream.scheduling.Record
import org.auburnstream.scheduling.RecordBatch
import org.auburnstream.scheduling.Reply
import org.auburnstream.scheduling.SchedulerState
import org.auburnstream.scheduling.SchedulingSettings
import org.auburnstream.scheduling.ServiceTerms
import org.auburnstream.scheduling.Tenant
import org.auburnstream.scheduling.TenantName

/** Fake of the leader that commits each batch immediately and discards orders to workers and the platform. */
internal class FakeLeader : LeaderAccess {
    override val controlAddress = "127.0.0.1:1"
    override val state = SchedulerState(retentionMs = 150_000)
    var nowMs = 1_700_000_000_000L

    /** Whether a quorum confirms reads; if false, every read yields null. */
    var isConfirmed = true
    private val coordinator: Coordinator
    private val replies = HashMap<CallId, (Reply) -> Unit>()
    private var lastCall = 0L

    init {
        val queues = listOf("plates", "proofs").map { name ->
            Queue(QueueName(name), "host", "/$name/", SERVICE, attempts = 2, timeoutMs = 3_000)
        }
        val tenant = Tenant(TenantName("press"), listOf(KeyDigest.of(KEY)), weight = 2.5, Resources(8_000, 4_096))
        apply(Record.CatalogAccepted(Catalog(1, queues, listOf(ServiceTerms(SERVICE)), tenants = listOf(tenant)), "{}"))
        coordinator = Coordinator(state, SchedulingSettings(), MonotonicTime.Zero)
    }

    override fun offer(event: (CallId) -> Event, reply: (Reply) -> Unit) {
        lastCall += 1
        replies[CallId(lastCall)] = reply
        handle(event(CallId(lastCall)))
    }

    override fun read(use: (SchedulerState?) -> Unit) = use(state.takeIf { isConfirmed })

    fun apply(vararg records: Record) = state.apply(RecordBatch(nowMs, records.asList()), MonotonicTime.Zero)

    private fun handle(event: Event) {
        for (action in coordinator.handle(event, MonotonicTime.Zero, nowMs)) {
            when (action) {
                is Action.Answer -> replies.remove(action.call)?.invoke(action.reply)
                is Action.Commit -> {
                    state.apply(action.batch, MonotonicTime.Zero)
                    handle(Event.BatchApplied)
                }
                else -> Unit
            }
        }
    }

    companion object {
        val SERVICE = ServiceId("print")
        const val KEY = "press-key"
    }
}
