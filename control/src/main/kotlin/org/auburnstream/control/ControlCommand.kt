package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.SettingsVersion

/** Command that changes the replicated control state. */
@Serializable
public sealed interface ControlCommand {
    /**
     * Changes settings if the tree still has version [expected].
     *
     * @property edits made together or not at all, at most 1,000.
     * @property reason operator's note for the history, at most 256 characters are kept.
     */
    @Serializable
    @SerialName("change-settings")
    public data class ChangeSettings(
        val expected: SettingsVersion,
        val edits: List<SettingEdit>,
        val reason: String = "",
    ) : ControlCommand

    /**
     * Makes nodes known or forgets them; the version of the settings stays.
     *
     * A node with overrides at or below it cannot be forgotten.
     */
    @Serializable
    @SerialName("change-nodes")
    public data class ChangeNodes(
        val add: List<SettingsPath> = emptyList(),
        val remove: List<SettingsPath> = emptyList(),
    ) : ControlCommand

    /**
     * Takes over a backup into a group that has never accepted a change.
     *
     * The group keeps the version of the backup and enters a new epoch, so that versions read before the loss
     * cannot be mistaken for versions of the restored group.
     */
    @Serializable
    @SerialName("restore")
    public data class Restore(val backup: ControlSnapshot) : ControlCommand
}
