package org.auburnstream.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnstream.model.SettingsVersion

/** Command that changes the replicated [ControlState]. */
@Serializable
public sealed interface ControlCommand {
    /**
     * Applies [edits] if the current settings version is [expected].
     *
     * @property edits at most 1,000 edits, applied atomically.
     * @property reason operator's note for the history, truncated to 256 characters.
     */
    @Serializable
    @SerialName("change-settings")
    public data class ChangeSettings(
        val expected: SettingsVersion,
        val edits: List<SettingEdit>,
        val reason: String = "",
    ) : ControlCommand

    /**
     * Adds nodes to the settings tree and removes nodes from it without changing the settings version.
     *
     * The command is rejected if a node to remove has overrides at or below it.
     */
    @Serializable
    @SerialName("change-nodes")
    public data class ChangeNodes(
        val add: List<SettingsPath> = emptyList(),
        val remove: List<SettingsPath> = emptyList(),
    ) : ControlCommand

    /**
     * Restores a backup into a group that has never accepted a change.
     *
     * The group continues from the version of the backup in a new epoch. The epoch distinguishes its versions from
     * those that clients read before the data was lost.
     */
    @Serializable
    @SerialName("restore")
    public data class Restore(val backup: ControlSnapshot) : ControlCommand
}
