package org.auburnstream.api

import kotlinx.serialization.Serializable

/**
 * Effective settings of one node.
 *
 * @property version version of the settings that the values belong to.
 * @property epoch number of times that the group was restored from a backup.
 */
@Serializable
public data class SettingsView(
    val path: String,
    val level: String,
    val version: Long,
    val epoch: Long,
    val values: List<SettingView>,
)

/**
 * Effective value of one key.
 *
 * @property origin path of the node that sets the value, or null for the default.
 */
@Serializable
public data class SettingView(
    val key: String,
    val value: String,
    val unit: String,
    val origin: String?,
    val default: String,
)

/** A key that can be set. */
@Serializable
public data class SettingKeyView(
    val key: String,
    val type: String,
    val range: String,
    val unit: String,
    val default: String,
    val levels: List<String>,
    val perTeam: Boolean,
    val description: String,
)

/** Every key that can be set. */
@Serializable
public data class SettingKeysView(val keys: List<SettingKeyView>)

/**
 * One edit of a change.
 *
 * @property value new value, or null to remove the override.
 */
@Serializable
public data class EditRequest(val path: String, val key: String, val value: String? = null)

/**
 * Asks for a change of settings.
 *
 * @property operation id that stays the same when the request is sent again.
 * @property expectedVersion version that the change is based on.
 * @property wait whether to answer once the change is accepted or once it is in force.
 * @property waitMillis longest time to wait for the change to be in force.
 */
@Serializable
public data class ChangeRequest(
    val operation: String,
    val expectedVersion: Long,
    val edits: List<EditRequest>,
    val reason: String = "",
    val wait: WaitFor = WaitFor.ACCEPTED,
    val waitMillis: Long = DEFAULT_WAIT_MILLIS,
) {
    public companion object {
        /** Longest time to wait for a change to be in force unless the request says otherwise. */
        public const val DEFAULT_WAIT_MILLIS: Long = 10_000
    }
}

/** What a change waits for. */
@Serializable
public enum class WaitFor {
    /** The change is committed by a quorum and cannot be lost. */
    ACCEPTED,

    /** Every daemon that may act on settings acts on this change. */
    IN_FORCE,
}

/**
 * Answer to an accepted change.
 *
 * @property nodes number of nodes at which an effective value changed.
 * @property acceptedMillis time from the daemon's receipt of the request to acceptance.
 * @property rollOut progress of the roll-out, if the request asked to wait for it.
 */
@Serializable
public data class ChangeAnswer(
    val operation: String,
    val version: Long,
    val nodes: Int,
    val acceptedMillis: Long,
    val rollOut: RollOutView? = null,
)

/**
 * Progress of a change towards being in force everywhere.
 *
 * @property inForce whether every daemon with a live lease acts on the change.
 * @property millis time from acceptance until now, or until it was in force.
 * @property heldBackBy daemons that it still waits for, or, once in force, the ones that it waited for longest.
 */
@Serializable
public data class RollOutView(val inForce: Boolean, val millis: Long, val heldBackBy: List<HeldBackView>)

/**
 * A daemon that a change waited for.
 *
 * @property daemon id of the daemon, or `*` for the leases granted by an earlier leader.
 * @property cause `acknowledgement` or `lease`: what ended or will end the wait.
 */
@Serializable
public data class HeldBackView(val daemon: String, val cause: String, val millis: Long)

/** Asks what a change would do. */
@Serializable
public data class PreviewRequest(val edits: List<EditRequest>)

/**
 * What a change would do.
 *
 * @property truncated whether more values change than are listed.
 */
@Serializable
public data class PreviewView(
    val version: Long,
    val nodes: Int,
    val changes: List<EffectiveChangeView>,
    val truncated: Boolean,
)

/** An effective value before and after a change. */
@Serializable
public data class EffectiveChangeView(val path: String, val key: String, val before: String, val after: String)

/** Accepted changes, newest first. */
@Serializable
public data class HistoryView(val version: Long, val oldestVersion: Long?, val changes: List<ChangeView>)

/** One accepted change. */
@Serializable
public data class ChangeView(
    val version: Long,
    val operation: String,
    val operator: String,
    val at: String,
    val reason: String,
    val edits: List<EditRequest>,
    val undo: List<EditRequest>,
)

/** Nodes of the settings tree. */
@Serializable
public data class NodesView(val version: Long, val nodes: List<NodeView>)

/** One node and the number of overrides at it. */
@Serializable
public data class NodeView(val path: String, val level: String, val overrides: Int)

/** Asks to make nodes known or to forget them. */
@Serializable
public data class NodesRequest(
    val operation: String,
    val add: List<String> = emptyList(),
    val remove: List<String> = emptyList(),
)
