package org.auburnstream.api

/** Paths, parameters and headers of the operators' HTTP interface. */
public object ApiRoutes {
    /** Common prefix, which names the version of the interface. */
    public const val PREFIX: String = "/v1"

    /** Effective settings of one node. */
    public const val SETTINGS: String = "$PREFIX/settings"

    /** Keys that can be set. */
    public const val SETTING_KEYS: String = "$PREFIX/settings/keys"

    /** Changes of settings: the history, and where new ones are sent. */
    public const val SETTING_CHANGES: String = "$PREFIX/settings/changes"

    /** Preview of a change. */
    public const val SETTINGS_PREVIEW: String = "$PREFIX/settings/preview"

    /** Nodes of the settings tree. */
    public const val SETTING_NODES: String = "$PREFIX/settings/nodes"

    /** Members of the control group. */
    public const val MEMBERS: String = "$PREFIX/members"

    /** State of the daemon and its group. */
    public const val STATUS: String = "$PREFIX/status"

    /** Backup of the replicated state. */
    public const val BACKUP: String = "$PREFIX/backup"

    /** Restore of a backup. */
    public const val RESTORE: String = "$PREFIX/restore"

    /** Content type of an [ApiError]. */
    public const val PROBLEM_CONTENT_TYPE: String = "application/problem+json"
}
