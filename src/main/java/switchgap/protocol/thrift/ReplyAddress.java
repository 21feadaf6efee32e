package switchgap.protocol.thrift;

import java.util.Map;

/**
 * Where the reply to a submit goes.
 *
 * @param connection the connection that the submit was read on
 * @param sequenceId the client's number of the submit, repeated in the reply
 */
record ReplyAddress(ClientConnection connection, int sequenceId) {
  /** Sends a successful result. Any thread. */
  void sendResult(byte[] body) {
    connection.send(ThriftResponseEncoder.response(WireNames.SUBMIT, sequenceId, body, true));
  }

  /** Sends a declared exception with its fields. Any thread. */
  void sendException(DeclaredException exception, Map<String, String> fields) {
    connection.send(
        ThriftResponseEncoder.declaredException(WireNames.SUBMIT, sequenceId, exception, fields));
  }
}
