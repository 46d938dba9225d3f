package org.auburnstream.cli.schedule

import org.auburnstream.cli.Command
import org.auburnstream.cli.CommandSpec

/** Subcommands of the scheduling of jobs, in the order of the help text. */
public val ScheduleCommands: List<CommandSpec> =
    listOf(
        spec(
            "schedule jobs",
            "List the jobs of the queues.",
            "Shows jobs with work left, oldest first, then the latest that are over.",
            "auburnctl schedule jobs --queue plate-build",
        ) { ScheduledJobs() },
        spec(
            "schedule job",
            "Show a job with its runs and their workers.",
            "Shows what is done of the job and where its runs may be in progress.",
            "auburnctl schedule job 00c0ffee00c0ffee",
        ) { ScheduledJob() },
        spec(
            "schedule submit",
            "Hand in a job.",
            "The job is accepted once, however often it is sent under one id.",
            "auburnctl schedule submit plate-build --tasks 4 --millicores 1500 --payload nightly",
        ) { ScheduledJobSubmit() },
        spec(
            "schedule cancel",
            "Cancel a job.",
            "No task of the job starts any more, and its runs are stopped.",
            "auburnctl schedule cancel 00c0ffee00c0ffee",
        ) { ScheduledJobCancel() },
        spec(
            "schedule queues",
            "List the queues.",
            "Shows the terms of each queue and how many of its jobs wait.",
            "auburnctl schedule queues",
        ) { Queues() },
        spec(
            "schedule tenants",
            "List the tenants.",
            "Shows weight, cap and use of each tenant, and how many of its jobs wait. Keys are not shown.",
            "auburnctl schedule tenants",
        ) { Tenants() },
        spec(
            "schedule workers",
            "List the workers.",
            "Shows where each worker runs, what it may be given and what is in use.",
            "auburnctl schedule workers",
        ) { Workers() },
        spec(
            "schedule waves",
            "List the maintenance waves of the workers' VMs.",
            "Shows how many VMs of each wave have begun and ended their maintenance.",
            "auburnctl schedule waves",
        ) { UpkeepWaves() },
    )

private fun spec(
    words: String,
    summary: String,
    description: String,
    example: String,
    create: () -> Command,
): CommandSpec = CommandSpec(words, summary, description, listOf(example), create)
