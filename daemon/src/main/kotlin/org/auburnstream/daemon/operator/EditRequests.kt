package org.auburnstream.daemon.operator

import org.auburnstream.api.ApiErrorType
import org.auburnstream.api.EditRequest
import org.auburnstream.control.SettingEdit
import org.auburnstream.control.SettingKeys
import org.auburnstream.control.SettingProblem
import org.auburnstream.control.SettingsPath

/** Parses and validates the setting edits of a request. */
internal object EditRequests {
    fun parse(requests: List<EditRequest>): Parsed<List<SettingEdit>> {
        val problems = mutableListOf<SettingProblem>()
        val edits = requests.mapNotNull { parse(it, problems) }
        return if (problems.isEmpty()) {
            Parsed.Value(edits)
        } else {
            Parsed.Failed(OperatorErrors.invalid(ApiErrorType.INVALID_CHANGE, problems))
        }
    }

    private fun parse(request: EditRequest, problems: MutableList<SettingProblem>): SettingEdit? {
        val path = SettingsPath.parse(request.path)
        if (path == null) {
            problems += SettingProblem.MalformedPath(request.path)
            return null
        }
        val text = request.value ?: return SettingEdit.Unset(path, request.key)
        val key = SettingKeys.find(request.key)
        if (key == null) {
            problems += SettingProblem.UnknownKey(path, request.key)
            return null
        }
        val value = key.parse(text)
        if (value == null) {
            problems += SettingProblem.InvalidValue(path, request.key, text, key.type.name, key.type.range)
            return null
        }
        return SettingEdit.Set(path, request.key, value)
    }
}
