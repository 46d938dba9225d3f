package org.auburnstream.daemon

import kotlinx.coroutines.CoroutineScope
import org.auburnstream.daemon.caller.RequestHandler
import org.auburnstream.daemon.config.DaemonSettings
import org.auburnstream.daemon.ledger.KeyedRequests
import org.auburnstream.daemon.ledger.LedgerStateMachine
import org.auburnstream.daemon.observability.EventLog
import org.auburnstream.daemon.observability.LogKeys
import org.auburnstream.daemon.peer.ChannelMappingTransport
import org.auburnstream.daemon.peer.PeerChannel
import org.auburnstream.daemon.peer.PeerTransport
import org.auburnstream.daemon.replication.GroupConfiguration
import org.auburnstream.daemon.replication.ReplicatedGroupRunner
import org.auburnstream.model.GroupId
import org.auburnstream.model.MonotonicTime
import org.auburnstream.storage.ReplicaStore
import org.auburnstream.storage.StoreResult
import kotlin.random.Random
import kotlin.time.Clock

/**
 * Runs this daemon's replica of the ledger group, which records idempotency keys.
 *
 * The ledger has a separate group so that a burst of orders does not delay changes of the settings.
 */
internal class LedgerPlane(
    private val settings: DaemonSettings,
    private val scope: CoroutineScope,
    transport: PeerTransport,
    store: ReplicaStore,
    private val clock: () -> MonotonicTime,
) {
    private val log = EventLog.of("ledger")
    private val group =
        ReplicatedGroupRunner(
            scope = scope,
            transport = ChannelMappingTransport(transport, Channels),
            machine = LedgerStateMachine(),
            store = store,
            configuration = GroupConfiguration(GROUP, settings.voters, settings.dataCentre),
            clock = clock,
            random = Random(settings.seed xor GROUP.value.hashCode().toLong()),
            onFailure = { log.error("ledger_group_failed", LogKeys.Detail of it.toString()) },
        )

    /** Wraps [next] so that a request with an idempotency key is executed at most once in the region. */
    fun withIdempotencyKeys(epoch: Long, next: RequestHandler): RequestHandler = KeyedRequests(
        scope = scope,
        group = group,
        next = next,
        self = settings.id,
        epoch = epoch,
        clock = clock,
        wallClock = Clock.System::now,
    )::handle

    suspend fun start(): StoreResult<Unit> = group.start()

    suspend fun close() {
        group.stop()
    }

    private companion object {
        val GROUP = GroupId("ledger")
        val Channels =
            mapOf(
                PeerChannel.CONSENSUS to PeerChannel.LEDGER_CONSENSUS,
                PeerChannel.PROPOSAL to PeerChannel.LEDGER_PROPOSAL,
            )
    }
}
