package org.auburnstream.cli.fleet

import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandSpec
import org.auburnstream.fleet.FleetCommand
import org.auburnstream.fleet.WaveChange
import org.auburnstream.model.OperationId
import org.auburnstream.model.VmId

/** Subcommands of the fleet, in the order of the help text. */
public val FleetCommands: List<CommandSpec> =
    listOf(
        spec(
            "pools",
            "List the pools with what they need and when they will have been maintained.",
            "Shows each pool's VMs, its target, the buffer it would need by itself, the projected end of its\n" +
                "maintenance, and what holds it.",
            "auburnctl pools",
        ) { Pools() },
        spec(
            "pool define",
            "Add or replace a pool.",
            "Names the services that every VM of the pool counts for. One pool may be the spare pool.",
            "auburnctl pool define proofs --service proof-rendering",
        ) { PoolDefine() },
        spec(
            "pool window",
            "Declare the maintenance window of a pool.",
            "Replaces the pool's windows by one that recurs. No VM of the pool is stopped for maintenance outside it.",
            "auburnctl pool window proofs --from 2030-01-31T22:00:00Z --length 4h --every 1d",
        ) { PoolWindow() },
        spec(
            "service define",
            "Add or replace a service with its availability budget.",
            "Sets how many VMs the service needs and how much it may miss. No planned act goes beyond it.",
            "auburnctl service define proof-rendering --target 6 --max-shortfall 1 --allowance 8h",
        ) { ServiceDefine() },
        spec(
            "vms",
            "List the VMs.",
            "Shows the pool that owns each VM, its state and its last maintenance.",
            "auburnctl vms --pool proofs",
        ) { Vms() },
        spec(
            "vm move",
            "Move a VM to another pool.",
            "Drains the VM and changes its owner. Refused if its pool would fall below a target.",
            "auburnctl vm move worker-17 --to proofs --dry-run",
        ) { VmMove() },
        vmSpec("repair", "Take a VM out for repair that is lost, overdue or quarantined.", FleetCommand::StartRepair),
        vmSpec("give-up", "Write off a VM that will not come back.", FleetCommand::GiveUpVm),
        vmSpec("readmit", "Take a VM back after a repair, a quarantine or a write-off.", FleetCommand::ReadmitVm),
        vmSpec("quarantine", "Keep all work away from a VM.", FleetCommand::QuarantineVm),
        spec(
            "waves",
            "List the maintenance waves.",
            "Shows the progress of each wave and what it waits for.",
            "auburnctl waves",
        ) { Waves() },
        spec(
            "wave start",
            "Start a maintenance wave.",
            "Drains and restarts the VMs of the pools one failure domain after the other, within windows and budgets.",
            "auburnctl wave start june --pool proofs,orders --at-once 2 --gap 5m --dry-run",
        ) { WaveStart() },
        waveSpec("pause", "Start no further VM of a wave until it is resumed.", WaveChange.PAUSE),
        waveSpec("resume", "Go on with a paused wave.", WaveChange.RESUME),
        waveSpec("cancel", "End a wave; VMs that are already stopped come back.", WaveChange.CANCEL),
        spec(
            "budget",
            "Show the availability budgets and what is spent of them, planned and unplanned.",
            "Shows for each service the VM-time that planned acts and unplanned losses have cost inside the window.",
            "auburnctl budget",
        ) { Budgets() },
        spec("jobs", "List the jobs.", "Shows live jobs and the latest that are over.", "auburnctl jobs") { Jobs() },
        spec(
            "job submit",
            "Submit a job.",
            "The answer says at once if the job can never run, and why.",
            "auburnctl job submit render-9 --team plates --pool batch --millicores 2000 --memory 4096",
        ) { JobSubmit() },
        spec(
            "job cancel",
            "Cancel jobs of a team.",
            "Cancels the named jobs, or all jobs of the team.",
            "auburnctl job cancel --team plates",
        ) { JobCancel() },
        spec("quotas", "List the quotas.", "Shows each team's quota and its use.", "auburnctl quotas") { Quotas() },
        spec(
            "quota set",
            "Set the quota of a team.",
            "Limits what the running jobs of the team may declare together.",
            "auburnctl quota set plates --millicores 64000 --memory 131072",
        ) { QuotaSet() },
        spec(
            "explain move",
            "Explain why a VM is where it is.",
            "Shows the VM's last change of pool, its reason, and what it is doing now.",
            "auburnctl explain move worker-17",
        ) { ExplainMove() },
    )

private fun spec(
    words: String,
    summary: String,
    description: String,
    example: String,
    create: () -> Command,
): CommandSpec = CommandSpec(words, summary, description, listOf(example), create)

private fun vmSpec(verb: String, summary: String, build: (OperationId, VmId) -> FleetCommand.Operator): CommandSpec =
    spec("vm $verb", summary, summary, "auburnctl vm $verb worker-17") { VmChange(build) }

private fun waveSpec(verb: String, summary: String, change: WaveChange): CommandSpec =
    spec("wave $verb", summary, summary, "auburnctl wave $verb june") { WaveControl(change) }
