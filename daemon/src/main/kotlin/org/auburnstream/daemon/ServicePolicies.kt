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
 * Settings of the services as they apply in this daemon's data centre.
 *
 * @param poolOf pool that carries a service, or null while none or several do; the data centre's settings apply then.
 */
internal class ServicePolicies(
    private val region: RegionId,
    private val dataCentre: DataCentreId,
    private val poolOf: (ServiceId) -> PoolId?,
) {
    /** Returns the settings of [service] in [view]. */
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

    /** Returns the times that requests of [service] may take in [view]. */
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
