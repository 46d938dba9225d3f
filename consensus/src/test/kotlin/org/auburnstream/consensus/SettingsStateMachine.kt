package org.auburnstream.consensus

import org.auburnstream.model.LogIndex

/** Key-value state machine whose writes expect a version and are idempotent by operation id. */
internal class SettingsStateMachine : StateMachine {
    var applied = 0L
        private set
    val versions = sortedMapOf<String, Long>()
    val answers = LinkedHashMap<String, String>()

    override fun apply(index: LogIndex, command: ByteArray): ByteArray {
        check(index.value > applied) { "entry $index applied after $applied" }
        applied = index.value
        val (operation, key, expected) = command.decodeToString().split(' ')
        val answer = answers.getOrPut(operation) { write(key, expected.toLong()) }
        return answer.encodeToByteArray()
    }

    private fun write(key: String, expected: Long): String {
        val version = versions[key] ?: 0
        if (version != expected) return "conflict:$version"
        versions[key] = version + 1
        return "accepted:${version + 1}"
    }

    override fun snapshot(): ByteArray = listOf(
        "$applied",
        versions.entries.joinToString(",") { "${it.key}=${it.value}" },
        answers.entries.joinToString(",") { "${it.key}=${it.value}" },
    ).joinToString("\n").encodeToByteArray()

    override fun restore(index: LogIndex, snapshot: ByteArray) {
        val (at, keys, operations) = snapshot.decodeToString().split('\n')
        check(at.toLong() <= index.value) { "snapshot of $at restored as $index" }
        applied = index.value
        versions.clear()
        answers.clear()
        pairs(keys).forEach { (key, version) -> versions[key] = version.toLong() }
        pairs(operations).forEach { (operation, answer) -> answers[operation] = answer }
    }

    private fun pairs(text: String) = text.split(',').filter { it.isNotEmpty() }.map { it.split('=') }
}
