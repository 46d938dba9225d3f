package org.auburnstream.daemon.caller

import org.auburnstream.daemon.target.TargetAnswer
import org.auburnstream.model.Outcome

/**
 * Brings a caller's request to its outcome.
 *
 * An answer that is too large to hold is passed to the second parameter while it arrives; the outcome then follows.
 * Cancelling the call means that the caller went away.
 */
public typealias RequestHandler =
    suspend (request: CallerRequest, stream: suspend (TargetAnswer) -> Unit) -> Outcome<TargetAnswer>
