package switchgap.protocol.thrift;

import java.util.Map;

/**
 * The connection and the sequence id to which the reply to a submit is sent.
 *
 * @param connection the connection that the submit was read on
 * @param sequenceId the sequence id that the client gave the submit, repeated in the reply
 */
record ReplyAddress(ClientConnection connection, int sequenceId) {
  /** Sends a successful result. Callable on any thread. */
  void sendResult(byte[] body) {
    connection.send(ThriftResponseEncoder.response(WireNames.SUBMIT, sequenceId, body, true));
  }

  /** Sends a declared exception with its fields. Callable on any thread. */
  void sendException(DeclaredException exception, Map<String, String> fields) {
    connection.send(
        ThriftResponseEncoder.declaredException(WireNames.SUBMIT, sequenceId, exception, fields));
  }
}
