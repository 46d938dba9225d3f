package org.auburnstream.daemon.state

/** Encodes commands and decodes answers for components that propose commands to the control group. */
public object StateMessages {
    /** Returns [command] encoded as a log entry. */
    public fun encode(command: ReplicatedCommand): ByteArray =
        StateCodec.encode(ReplicatedCommand.serializer(), command)

    /** Returns the answer encoded in [response], or null if it cannot be decoded. */
    public fun decodeAnswer(response: ByteArray): CommandAnswer? =
        StateCodec.decode(CommandAnswer.serializer(), response)
}
