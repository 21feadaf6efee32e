package switchgap.testbed.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * The workers' protocol, RESP arrays of bulk strings, from the worker's side. It shares no code
 * with the router's codec, so that a mistake there can't hide itself from the checks.
 */
final class RespCodec {
  private static final int LINE_END_BYTES = 2;

  private RespCodec() {}

  /**
   * Reads the next command, blocking.
   *
   * @return its words, of which the first names it
   * @throws EOFException if the connection ends or what arrives is no array of bulk strings
   */
  static String[] readCommand(InputStream input) throws IOException {
    String[] words = new String[readNumber(input, '*')];
    for (int i = 0; i < words.length; i++) {
      byte[] word = input.readNBytes(readNumber(input, '$'));
      words[i] = new String(word, StandardCharsets.ISO_8859_1);
      input.skipNBytes(LINE_END_BYTES);
    }
    return words;
  }

  private static int readNumber(InputStream input, char sign) throws IOException {
    if (input.read() != sign) {
      throw new EOFException();
    }
    int number = 0;
    for (int next = input.read(); next != '\r'; next = input.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      number = number * 10 + next - '0';
    }
    input.read();
    return number;
  }

  /** An array of bulk strings, as a worker replies. */
  static byte[] encode(String... parts) {
    StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
    for (String part : parts) {
      text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
