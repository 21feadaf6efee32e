package switchgap.protocol.thrift;

import java.util.Map;

/**
 * A decoded message of a client.
 *
 * @param type the message's type
 * @param method the method's name
 * @param sequenceId the sequence id that the client gave the request, repeated in the reply
 * @param fields argument 1 if it is a map of strings, otherwise null
 * @param body argument 2 if it is binary, otherwise null
 * @param firstInteger argument 1 if it is a 32-bit integer, otherwise 0
 */
record ThriftMessage(
    MessageType type,
    String method,
    int sequenceId,
    Map<String, String> fields,
    byte[] body,
    int firstInteger) {}
