package org.auburnstream.daemon

import org.auburnstream.control.EffectiveSettings
import org.auburnstream.control.SettingKeys
import org.auburnstream.control.SettingsPath
import org.auburnstream.daemon.caller.DeadlineLimits
import org.auburnstream.daemon.state.StateView
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RegionId
import org.auburnstream.model.ServiceId
import org.auburnstream.routing.ServicePolicy

/**
 * Resolves the effective settings and routing policy of services in this daemon's data centre.
 *
 * @param poolOf returns the pool that runs a service, or null if no pool or several pools run it; the settings
 * of the data centre apply if it is null.
 */
internal class ServicePolicies(
    private val region: RegionId,
    private val dataCentre: DataCentreId,
    private val poolOf: (ServiceId) -> PoolId?,
) {
    /** Returns the effective settings of [service] in [view]. */
    fun settings(view: StateView, service: ServiceId): EffectiveSettings {
        val pool = poolOf(service)
        val path =
            if (pool == null) {
                SettingsPath.of(region, dataCentre)
            } else {
                SettingsPath.of(region, dataCentre, pool, service)
            }
        return view.control.tree.at(path)
    }

    /** Returns the default and maximum deadline of requests to [service] in [view]. */
    fun deadlines(view: StateView, service: ServiceId): DeadlineLimits {
        val effective = settings(view, service)
        return DeadlineLimits(
            default = effective[SettingKeys.RequestDeadlineDefault],
            longest = effective[SettingKeys.RequestDeadlineMax],
        )
    }

    /** Returns the routing policy of [service] in [view]. */
    fun policy(view: StateView, service: ServiceId): ServicePolicy {
        val effective = settings(view, service)
        return ServicePolicy(
            queueCapacity = effective[SettingKeys.QueueCapacity].toInt(),
            retryRatio = effective[SettingKeys.RetryBudgetRatio],
            maxAttempts = effective[SettingKeys.RetryMaxAttempts].toInt(),
        )
    }
}
