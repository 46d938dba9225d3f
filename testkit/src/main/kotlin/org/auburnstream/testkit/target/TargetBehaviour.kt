package org.auburnstream.testkit.target

/** How a stand-in target treats a request; a request names it in the header [HEADER]. */
public enum class TargetBehaviour {
    /** Runs the request and answers with its request line and body. */
    ECHO,

    /** Runs the request and answers after a delay. */
    SLOW,

    /** Runs the request and answers once the test allows it. */
    HOLD,

    /** Says that it did not run the request. */
    REFUSE,

    /** Runs the request and answers with status 500. */
    FAIL,

    /** Runs the request, announces the whole length, sends half of the answer and closes. */
    TRUNCATED,

    /** Runs the request and closes without an answer. */
    CLOSE,

    /** Runs the request, answers and sends the same answer again. */
    DOUBLED,

    /** Runs the request and answers with the id of another one. */
    MISTAKEN,
    ;

    public companion object {
        /** Header by which a request chooses the behaviour. */
        public const val HEADER: String = "X-Stand-In"

        /** Returns the behaviour that [text] names in any case, or null. */
        public fun parseOrNull(text: String): TargetBehaviour? =
            entries.find { it.name.equals(text, ignoreCase = true) }
    }
}
