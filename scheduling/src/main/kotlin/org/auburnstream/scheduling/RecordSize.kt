package org.auburnstream.scheduling

/** Upper bound of the encoded size of the record, in bytes. */
internal fun Record.maxSize(): Int = FIXED_BYTES + when (this) {
    is Record.CatalogReplaced -> document.size
    is Record.JobAccepted -> queue.size() + description.size() + (owner?.tenant?.value?.size() ?: 0)
    is Record.WorkerRegistered -> profile.size()
    is Record.WaveAccepted -> vms.sumOf { it.value.size() }
    is Record.RunEnded -> saved.size()
    is Record.LeaseClosed -> unconfirmed.size * FIXED_BYTES
    else -> 0
}

/** Upper bound of the encoded size of the description, in bytes. */
internal fun JobDescription.size(): Int = payload.size() + steps.sumOf { step ->
    FIXED_BYTES + step.image.size() + (step.requiredLabel?.size() ?: 0) + (step.dataRack?.value?.size() ?: 0) +
        step.dependsOn.size * INT_BYTES
}

private fun Queue.size(): Int = FIXED_BYTES + name.value.size() + host.size() + prefix.size() + service.value.size()

private fun WorkerProfile.size(): Int =
    address.size() + service.value.size() + dataCentre.value.size() + (vm?.value?.size() ?: 0) +
        labels.sumOf { it.size() }

/** Size in UTF-8 with the length before it, in bytes. */
private fun String.size(): Int = INT_BYTES + sumOf { if (it.code < ONE_BYTE_CHARS) 1 else MAX_CHAR_BYTES }

/** Names of fields, numbers, and the ids of a record. */
private const val FIXED_BYTES = 256
private const val INT_BYTES = 5
private const val ONE_BYTE_CHARS = 0x80
private const val MAX_CHAR_BYTES = 3
