package org.auburnstream.api

import kotlinx.serialization.json.Json

/** JSON of the operators' interface: fields unknown to the reader are passed over, defaults are written. */
public val ApiJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = true
    }
