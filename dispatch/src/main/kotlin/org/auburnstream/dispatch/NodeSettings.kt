package org.auburnstream.dispatch

import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.scheduling.SchedulingSettings
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one dispatching process.
 *
 * @property name name of the process in logs and in orders to the platform.
 * @property callers where callers are served, or null.
 * @property readiness where readiness is told, or null.
 * @property control where workers and operators are served, or null.
 * @property peer where other processes reach this one.
 * @property metrics where metrics are served, or null.
 * @property seeds processes of the control group that are known from the start.
 * @property formsGroup whether the group does not exist yet and the seeds form it.
 * @property dataFolder folder of the replicated log, or null for a process without one.
 * @property losses number of control processes that may be lost at a time.
 * @property graceTime time from the order to stop until the process is killed.
 * @property maxOpenFiles bound of the open files and connections.
 * @property operatorToken token of the operators' interface, or null if it is closed.
 * @property retention time for which the state of a job that is over can be read.
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
