package switchgap.protocol.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes commands as RESP arrays of bulk strings. */
final class RespCommandEncoder {
  private static final String LINE_END = "\r\n";
  private static final int INITIAL_HEAD_CHARS = 96;

  private RespCommandEncoder() {}

  /** Encodes a command without a body. Each word must consist of ISO 8859-1 characters. */
  static byte[] encode(String... words) {
    return toBytes(encodeHead(words.length, words));
  }

  /** Encodes a command whose last part is the body. */
  static byte[] encodeWithBody(byte[] body, String... words) {
    StringBuilder head = encodeHead(words.length + 1, words);
    head.append('$').append(body.length).append(LINE_END);
    ByteArrayOutputStream command =
        new ByteArrayOutputStream(head.length() + body.length + LINE_END.length());
    command.writeBytes(toBytes(head));
    command.writeBytes(body);
    command.writeBytes(LINE_END.getBytes(StandardCharsets.ISO_8859_1));
    return command.toByteArray();
  }

  private static StringBuilder encodeHead(int parts, String... words) {
    StringBuilder head =
        new StringBuilder(INITIAL_HEAD_CHARS).append('*').append(parts).append(LINE_END);
    for (String word : words) {
      head.append('$').append(word.length()).append(LINE_END).append(word).append(LINE_END);
    }
    return head;
  }

  private static byte[] toBytes(StringBuilder text) {
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
