package org.auburnstream.bench

import org.auburnstream.bench.capacity.RestSlopes
import org.auburnstream.bench.consensus.MembershipCost
import org.auburnstream.bench.consensus.ProposalLoad
import org.auburnstream.bench.consensus.RestCost
import org.auburnstream.bench.consensus.RestartTime
import org.auburnstream.bench.consensus.VoterPlacement
import org.auburnstream.bench.control.LeaseTraffic
import org.auburnstream.bench.control.SettingsTreeCost
import org.auburnstream.bench.fleet.FleetExperiments
import org.auburnstream.bench.routing.FloodExperiment
import org.auburnstream.bench.routing.floodTable

/** Every experiment of the command line. */
internal val experiments: List<Experiment> =
    listOf(
        Experiment("consensus-rest", "messages and bytes of a replicated group at rest", run = RestCost::run),
        Experiment(
            "consensus-membership",
            "entries and exposure of ways to replace a voter",
            run = MembershipCost::run,
        ),
        Experiment("consensus-voters", "losses that three and five voters survive", run = VoterPlacement::run),
        Experiment("consensus-proposals", "throughput and latency of synced proposals", run = ProposalLoad::run),
        Experiment("consensus-restart", "time to restart behind a snapshot", run = RestartTime::run),
        Experiment(
            "settings-tree",
            "time and memory of the settings tree over VMs and pools",
            run = SettingsTreeCost::run,
        ),
        Experiment(
            "lease-traffic",
            "messages and bytes of settings leases at rest, over daemons",
            run = LeaseTraffic::run,
        ),
        Experiment(
            name = "flood",
            description = "what a flooded service and the others keep, against two baselines",
            run = { seed -> listOf(floodTable(FloodExperiment.run(seed))) },
        ),
        Experiment(
            name = "rest",
            description = "cost of daemons at rest as processes, over VMs and daemons",
            plots = restPlots(),
            run = { RestSlopes.run() },
        ),
    ) + FleetExperiments

private fun restPlots(): List<PlotRequest> = listOf("leader", "voter", "learner").flatMap { role ->
    listOf("processor %", "bytes/s", "live heap MiB").map { PlotRequest("rest-by-vms-$role", "VMs", it) }
}
