package org.auburnstream.daemon.state

/** Encoded form of commands and answers, for those who propose them. */
public object StateMessages {
    /** Returns the log entry of [command]. */
    public fun encode(command: ReplicatedCommand): ByteArray =
        StateCodec.encode(ReplicatedCommand.serializer(), command)

    /** Returns the answer in [response], or null if it cannot be read. */
    public fun decodeAnswer(response: ByteArray): CommandAnswer? =
        StateCodec.decode(CommandAnswer.serializer(), response)
}
