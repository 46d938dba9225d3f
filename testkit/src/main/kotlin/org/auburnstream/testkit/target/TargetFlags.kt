package org.auburnstream.testkit.target

import org.auburnstream.model.Announcement
import org.auburnstream.model.DataCentreId
import org.auburnstream.model.PoolId
import org.auburnstream.model.RackId
import org.auburnstream.model.ServiceId
import org.auburnstream.model.VmId
import org.kohsuke.args4j.Option

/** Command line of a stand-in target. */
internal class TargetFlags {
    @Option(name = "--vm", usage = "Id of the VM")
    var vm: String = "vm-1"

    @Option(name = "--data-centre", usage = "Data centre of the VM")
    var dataCentre: String = "dc-1"

    @Option(name = "--rack", usage = "Rack of the VM")
    var rack: String = "rack-1"

    @Option(name = "--pool", usage = "Pool of the VM")
    var pool: String = "print"

    @Option(name = "--service", usage = "Service that the target runs")
    var service: String = "print"

    @Option(name = "--address", usage = "IP number to listen on")
    var address: String = "127.0.0.1"

    @Option(name = "--port", usage = "TCP port, 0 for any free one")
    var port: Int = 0

    @Option(name = "--daemons", usage = "Targets' listeners of the daemons, address:port, comma-separated")
    var daemons: String = ""

    @Option(name = "--behaviour", usage = "Behaviour for requests that name none")
    var behaviour: TargetBehaviour = TargetBehaviour.ECHO

    @Option(name = "--slots", usage = "Requests run at the same time")
    var slots: Int = Announcement.DEFAULT_SLOTS

    fun toAnnouncement(): Announcement = Announcement(
        vm = VmId(vm),
        incarnation = System.currentTimeMillis(),
        dataCentre = DataCentreId(dataCentre),
        rack = RackId(rack),
        pool = PoolId(pool),
        address = address,
        port = port,
        service = ServiceId(service),
        slots = slots,
    )
}
