package org.auburnstream.dispatch.http

/** Outcome of a call of an [HttpClient]: whether it was answered, and if not, whether the server may execute it. */
public sealed interface CallResult {
    /** Response of the server, or null if it did not respond. */
    public val response: HttpResponse?
        get() = null

    /** The server sent a complete response. */
    public data class Answered(override val response: HttpResponse) : CallResult

    /** No byte of the request was written, so the server has not executed it and will not do so. */
    public data object Unsent : CallResult

    /**
     * The request may have been written in part or in full and got no response; the server may execute it, now or
     * later.
     */
    public data object Unknown : CallResult
}
