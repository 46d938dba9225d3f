package org.auburnstream.daemon.observability

import org.auburnstream.model.DaemonId
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.GroupId
import org.auburnstream.model.LogIndex
import org.auburnstream.model.OperationId
import org.auburnstream.model.OperatorId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RequestId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.SettingsVersion
import org.auburnstream.model.VmId
import kotlin.time.Duration

/** Keys that log lines share, so that one search finds all events of a request, VM or daemon. */
public object LogKeys {
    public val RequestId: LogKey<RequestId> = LogKey("request_id")
    public val TraceId: LogKey<String> = LogKey("trace_id")
    public val Service: LogKey<ServiceId> = LogKey("service")
    public val Pool: LogKey<PoolId> = LogKey("pool")
    public val Vm: LogKey<VmId> = LogKey("vm")
    public val VmDataCentre: LogKey<DataCentreId> = LogKey("vm_data_centre")
    public val Peer: LogKey<DaemonId> = LogKey("peer")
    public val Group: LogKey<GroupId> = LogKey("group")
    public val Term: LogKey<Long> = LogKey("term")
    public val Index: LogKey<LogIndex> = LogKey("index")
    public val Version: LogKey<SettingsVersion> = LogKey("version")
    public val Operation: LogKey<OperationId> = LogKey("operation")
    public val Operator: LogKey<OperatorId> = LogKey("operator")
    public val Reason: LogKey<Enum<*>> = LogKey("reason")
    public val Result: LogKey<Enum<*>> = LogKey("result")
    public val Elapsed: LogKey<Duration> = LogKey("elapsed")
    public val Count: LogKey<Int> = LogKey("count")
    public val Port: LogKey<Int> = LogKey("port")
    public val Listener: LogKey<String> = LogKey("listener")
    public val Detail: LogKey<String> = LogKey("detail")
}
