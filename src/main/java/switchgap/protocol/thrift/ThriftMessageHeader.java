package switchgap.protocol.thrift;

/**
 * The header of a client's message.
 *
 * @param type the message's type
 * @param method the method's name
 * @param sequenceId the sequence id that the client gave the request, repeated in the reply
 */
record ThriftMessageHeader(MessageType type, String method, int sequenceId) {}
