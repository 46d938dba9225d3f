package org.auburnstream.cli

import org.auburnstream.api.ApiRoutes
import org.auburnstream.api.StatusView

/** Shows one daemon's state. */
internal class Status : Command() {
    override suspend fun run(session: Session): CommandResult =
        session.client.get(ApiRoutes.STATUS).print(session, StatusView.serializer()) { status ->
            val lease = if (status.lease.live) "live, ${status.lease.remainingMillis} ms left" else "expired"
            val table =
                Table("FIELD", "VALUE")
                    .row("daemon", status.daemon)
                    .row("group", status.group)
                    .row("role", status.role)
                    .row("term", status.term)
                    .row("leader", status.leader ?: "none")
                    .row("commit index", status.commitIndex)
                    .row("applied index", status.appliedIndex)
                    .row("settings version", status.settingsVersion)
                    .row("settings lease", lease)
            if (status.daemons.isEmpty()) table.toString() else "$table\n\n${daemons(status)}"
        }

    private fun daemons(status: StatusView): String {
        val table = Table("DAEMON", "APPLIED", "LEASE LEFT")
        status.daemons.forEach { table.row(it.daemon, it.appliedIndex, "${it.leaseRemainingMillis} ms") }
        return table.toString()
    }

    companion object {
        val Spec =
            CommandSpec(
                words = "status",
                summary = "Show the state of a daemon and of its control group.",
                description =
                "Shows the role of the first daemon that answers, the leader it follows, the settings version that\n" +
                    "it acts on and whether its settings lease is live. The leader also lists every daemon's lease.",
                examples = listOf("auburnctl status --daemon 10.0.0.1:7402"),
                create = ::Status,
            )
    }
}
