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

/** Keys that several log events share, so that one search finds all events of a request, VM or daemon. */
public object LogKeys {
    /** Id of a caller's request. */
    public val RequestId: LogKey<RequestId> = LogKey("request_id")

    /** Trace id of a request, 32 hexadecimal digits. */
    public val TraceId: LogKey<String> = LogKey("trace_id")

    /** Service of a request or target. */
    public val Service: LogKey<ServiceId> = LogKey("service")

    /** Pool of a VM. */
    public val Pool: LogKey<PoolId> = LogKey("pool")

    /** VM of a target. */
    public val Vm: LogKey<VmId> = LogKey("vm")

    /** Data centre of the VM; `data_centre` of the line is the data centre of the daemon. */
    public val VmDataCentre: LogKey<DataCentreId> = LogKey("vm_data_centre")

    /** Daemon at the other end of a link. */
    public val Peer: LogKey<DaemonId> = LogKey("peer")

    /** Replicated group. */
    public val Group: LogKey<GroupId> = LogKey("group")

    /** Term of a replicated group. */
    public val Term: LogKey<Long> = LogKey("term")

    /** Index in the log of a replicated group. */
    public val Index: LogKey<LogIndex> = LogKey("index")

    /** Version of the settings. */
    public val Version: LogKey<SettingsVersion> = LogKey("version")

    /** Id of a change that an operator made. */
    public val Operation: LogKey<OperationId> = LogKey("operation")

    /** Operator who made a change. */
    public val Operator: LogKey<OperatorId> = LogKey("operator")

    /** Reason for a refusal, failure or end. */
    public val Reason: LogKey<Enum<*>> = LogKey("reason")

    /** Result of an action. */
    public val Result: LogKey<Enum<*>> = LogKey("result")

    /** Duration of an action, written in microseconds. */
    public val Elapsed: LogKey<Duration> = LogKey("elapsed")

    /** Number of items that the event is about. */
    public val Count: LogKey<Int> = LogKey("count")

    /** TCP port. */
    public val Port: LogKey<Int> = LogKey("port")

    /** Name of a listener of the daemon. */
    public val Listener: LogKey<String> = LogKey("listener")

    /** Text from a library or another process. */
    public val Detail: LogKey<String> = LogKey("detail")
}
