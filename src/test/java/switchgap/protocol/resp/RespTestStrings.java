package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Converts between text and RESP bytes in the protocol's character set, ISO 8859-1. */
final class RespTestStrings {
  static final int MAX_STRING_BYTES = 64;

  private RespTestStrings() {}

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Returns the strings of all arrays in a stream that arrives as one part. */
  static List<String> decode(byte[] stream) throws MalformedReplyException {
    return decodeInTwoParts(stream, 0);
  }

  /** Returns the strings of all arrays in a stream that arrives in two parts. */
  static List<String> decodeInTwoParts(byte[] stream, int firstPartBytes)
      throws MalformedReplyException {
    RespDecoder decoder = new RespDecoder(MAX_STRING_BYTES);
    List<String> strings = new ArrayList<>();
    RespDecoder.ArrayHandler handler =
        parts -> {
          for (byte[] part : parts) {
            strings.add(text(part));
          }
        };
    decoder.decode(ByteBuffer.wrap(stream, 0, firstPartBytes), handler);
    decoder.decode(
        ByteBuffer.wrap(stream, firstPartBytes, stream.length - firstPartBytes), handler);
    return strings;
  }
}
