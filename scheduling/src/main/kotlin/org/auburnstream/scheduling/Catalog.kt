package org.auburnstream.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.auburnstream.model.Resources
import org.auburnstream.model.ServiceId

/**
 * Queues and services that an operator has defined; a higher [version] replaces a lower one as a whole.
 *
 * Use [problem] to validate a catalog before it is submitted.
 */
@Serializable
public data class Catalog(
    val version: Long,
    val queues: List<Queue>,
    val services: List<ServiceTerms>,
    val limits: RequestLimits = RequestLimits(),
    val tenants: List<Tenant> = emptyList(),
) {
    /** Returns the tenant [name], or null. */
    public fun tenant(name: TenantName): Tenant? = tenants.firstOrNull { it.name == name }

    /** Returns the tenant that the key with [digest] identifies, or null if no tenant has the key. */
    public fun tenantOf(digest: KeyDigest): Tenant? = tenants.firstOrNull { digest in it.keys }

    @Transient
    private val byName = queues.asReversed().associateBy { it.name }

    @Transient
    private val byHost = queues.groupBy { it.host }

    /** Returns the queue [name], or null. */
    public fun queue(name: QueueName): Queue? = byName[name]

    /** Returns the queue of [host] with the longest prefix that [path] begins with, or null. */
    public fun route(host: String, path: String): Queue? = byHost[host].orEmpty()
        .filter { path.startsWith(it.prefix) }
        .maxByOrNull { it.prefix.length }

    /** Returns the first problem that makes this catalog invalid, or null if it is valid. */
    public fun problem(): CatalogProblem? {
        val known = services.map { it.service }.toSet()
        val routes = HashSet<Pair<String, String>>()
        for (queue in queues) {
            if (queue.service !in known) return CatalogProblem.UnknownService(queue.name, queue.service)
            if (!routes.add(queue.host to queue.prefix)) return CatalogProblem.DuplicateRoute(queue.name)
            if (queue.timeoutMs <= 0) return CatalogProblem.NoTimeout(queue.name, queue.timeoutMs)
        }
        return tenantProblem()
    }

    private fun tenantProblem(): CatalogProblem? {
        val names = HashSet<TenantName>()
        val holders = HashMap<KeyDigest, TenantName>()
        for (tenant in tenants) {
            if (!names.add(tenant.name)) return CatalogProblem.DuplicateTenant(tenant.name)
            if (!(tenant.weight > 0 && tenant.weight.isFinite())) {
                return CatalogProblem.UnusableWeight(tenant.name, tenant.weight)
            }
            if (!tenant.cap.isValid) return CatalogProblem.NegativeCap(tenant.name, tenant.cap)
            for (key in tenant.keys) {
                val holder = holders.put(key, tenant.name) ?: continue
                if (holder != tenant.name) return CatalogProblem.SharedKey(holder, tenant.name)
            }
        }
        return null
    }
}

/**
 * Configuration of one queue of jobs.
 *
 * @property priority priority of the queue; 0 is the highest.
 * @property attempts number of failed runs of one task after which its job fails.
 * @property stretch factor by which a job may take longer than its longest chain of dependent work.
 * @property objectiveMs time that a job may take in addition to the stretched work.
 * @property timeoutMs longest time that a request may take.
 * @property advice configuration of the advice service, which decides which workers may run the queue's steps, or null
 *   if any worker may.
 * @property isPublic whether callers need no key; the jobs of a public queue belong to no tenant unless a key is given.
 */
@Serializable
public data class Queue(
    val name: QueueName,
    val host: String,
    val prefix: String,
    val service: ServiceId,
    val priority: Int = 0,
    val attempts: Int = 1,
    val stretch: Double = 1.0,
    val objectiveMs: Long = 0,
    val timeoutMs: Long = 0,
    val advice: AdviceTerms? = null,
    @SerialName("public") val isPublic: Boolean = true,
)

/**
 * Cost and validity of calls to the advice service, which issues tickets for workers.
 *
 * @property decideMs base duration of a call.
 * @property eachMs additional duration of a call for each worker that it asks about.
 * @property validMs time for which a ticket can be used.
 */
@Serializable
public data class AdviceTerms(val decideMs: Long, val eachMs: Long, val validMs: Long)

/**
 * Configuration of one service and its pool of VMs.
 *
 * @property guardsCapacity whether its workers refuse tasks beyond their capacity.
 * @property spare whether its VMs are switched off until they are moved to another pool.
 */
@Serializable
public data class ServiceTerms(
    val service: ServiceId,
    val guardsCapacity: Boolean = false,
    val spare: Boolean = false,
    val healthPath: String = "/",
)

/** Limits on the size and duration of callers' requests. */
@Serializable
public data class RequestLimits(
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxBodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerTimeoutMs: Long = DEFAULT_HEADER_TIMEOUT_MS,
    val idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS,
)

/** Reason why a catalog is invalid; [message] names the invalid value and how to correct it. */
public sealed interface CatalogProblem {
    /** Message for the operator. */
    public val message: String

    /** A queue names a service that the catalog does not define. */
    public data class UnknownService(val queue: QueueName, val service: ServiceId) : CatalogProblem {
        override val message: String
            get() = "queue $queue names service $service, which is not defined; define it or name another"
    }

    /** Two queues have the same host and prefix. */
    public data class DuplicateRoute(val queue: QueueName) : CatalogProblem {
        override val message: String
            get() = "queue $queue has the host and prefix of another queue; give it a prefix of its own"
    }

    /** A queue has no positive timeout. */
    public data class NoTimeout(val queue: QueueName, val timeoutMs: Long) : CatalogProblem {
        override val message: String
            get() = "queue $queue has a timeout of $timeoutMs ms; give it at least 1 ms"
    }

    /** Two tenants have the same name. */
    public data class DuplicateTenant(val tenant: TenantName) : CatalogProblem {
        override val message: String
            get() = "there are two tenants $tenant; merge them or rename one"
    }

    /** Two tenants have the same key. */
    public data class SharedKey(val first: TenantName, val second: TenantName) : CatalogProblem {
        override val message: String
            get() = "tenants $first and $second share a key; give each tenant keys of its own"
    }

    /** A tenant has no positive weight. */
    public data class UnusableWeight(val tenant: TenantName, val weight: Double) : CatalogProblem {
        override val message: String
            get() = "tenant $tenant has a weight of $weight; give it a positive number"
    }

    /** A tenant has a negative cap. */
    public data class NegativeCap(val tenant: TenantName, val cap: Resources) : CatalogProblem {
        override val message: String
            get() = "tenant $tenant has a cap of $cap; give it 0 for no limit, or more"
    }

    /** The catalog document cannot be parsed. */
    public data class Unreadable(val detail: String) : CatalogProblem {
        override val message: String
            get() = "the catalog cannot be read: $detail; send a complete document"
    }
}

// Limits that apply until the first catalog arrives: common defaults of HTTP servers.
private const val DEFAULT_HEADER_BYTES = 16_384
private const val DEFAULT_BODY_BYTES = 262_144
private const val DEFAULT_HEADER_TIMEOUT_MS = 3_000L
private const val DEFAULT_IDLE_TIMEOUT_MS = 15_000L
