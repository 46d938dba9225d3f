package org.auburnstream.dispatch

import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.scheduling.SchedulingSettings
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one dispatch process, which is an entry process or a control process.
 *
 * @property name name of the process in logs and in orders to the platform.
 * @property callers address of the listener for callers, or null if there is none.
 * @property readiness address of the readiness endpoint, or null if there is none.
 * @property control address of the listener for workers and operators, or null if there is none.
 * @property peer address at which other processes reach this one.
 * @property metrics address of the metrics endpoint, or null if there is none.
 * @property seeds processes of the control group that are known at startup.
 * @property formsGroup whether the group does not exist yet and the seeds become its initial voters.
 * @property dataFolder folder of the replicated log, or null for a process without one.
 * @property losses number of simultaneously lost control processes that the group tolerates.
 * @property graceTime time from the stop signal until the process is killed.
 * @property maxOpenFiles maximum number of open files and connections.
 * @property operatorToken token of the operators' interface, or null if that interface is disabled.
 * @property retention time for which the state of a finished job remains readable.
 */
public data class NodeSettings(
    val name: String,
    val dataCentre: DataCentreId,
    val callers: InetSocketAddress?,
    val readiness: InetSocketAddress?,
    val control: InetSocketAddress?,
    val peer: InetSocketAddress,
    val metrics: InetSocketAddress?,
    val seeds: Set<DaemonId>,
    val formsGroup: Boolean,
    val dataFolder: Path?,
    val losses: Int,
    val graceTime: Duration = 6.seconds,
    val maxOpenFiles: Int = 1_024,
    val retention: Duration = 150.seconds,
    val operatorToken: String? = null,
    val scheduling: SchedulingSettings = SchedulingSettings(),
)
