package switchgap.testbed.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Worker side of the protocol between routers and workers: RESP arrays of bulk strings. It shares
 * no code with the router's codec, so that the checks notice faults of that codec.
 */
final class RespCodec {
  private static final int LINE_END_BYTES = 2;

  private RespCodec() {}

  /**
   * Reads the next command; blocks until it is complete.
   *
   * @return its words; the first one is the name of the command
   * @throws EOFException if the connection ends or the input is not an array of bulk strings
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

  private static int readNumber(InputStream input, char typePrefix) throws IOException {
    if (input.read() != typePrefix) {
      throw new EOFException();
    }
    int number = 0;
    for (int nextByte = input.read(); nextByte != '\r'; nextByte = input.read()) {
      if (nextByte < 0) {
        throw new EOFException();
      }
      number = number * 10 + nextByte - '0';
    }
    input.read();
    return number;
  }

  /** Encodes a reply as an array of bulk strings. */
  static byte[] encode(String... parts) {
    StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
    for (String part : parts) {
      text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
