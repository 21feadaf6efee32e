package switchgap.protocol.thrift;

import java.util.Map;

/**
 * A message that a client sent.
 *
 * @param type what kind of message it is
 * @param method the method's name
 * @param sequenceId the client's number of the request, repeated in its reply
 * @param fields argument 1 if it is a map of strings, else null
 * @param body argument 2 if it is binary, else null
 * @param firstInteger argument 1 if it is a 32-bit integer, else 0
 */
record ThriftMessage(
    MessageType type,
    String method,
    int sequenceId,
    Map<String, String> fields,
    byte[] body,
    int firstInteger) {}
