package org.auburnstream.dispatch.http

/** What became of a call of an [HttpClient]. */
public sealed interface CallResult {
    /** The answer, or null if there is none. */
    public val response: HttpResponse?
        get() = null

    /** The server answered. */
    public data class Answered(override val response: HttpResponse) : CallResult

    /** No byte of the call was written, so the server has not and will not carry it out. */
    public data object Unsent : CallResult

    /** The call was written in part or whole and not answered; the server may carry it out, now or later. */
    public data object Unknown : CallResult
}
