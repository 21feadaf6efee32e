package switchgap.net;

import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * Gathers the body of one request at a time, for one connection of a server. Not thread-safe: it
 * belongs to the connection's selector thread.
 */
final class RequestBodyBuffer {
  private static final byte[] EMPTY = new byte[0];

  private byte[] bytes = EMPTY;
  private int size;

  /** Bytes gathered so far. */
  int size() {
    return size;
  }

  /**
   * Adds a part of the body.
   *
   * @param content the part, or null
   * @param contentLength the length that the request's head announces, or a value below 1 if it
   *     announces none
   */
  void append(Buffer content, long contentLength) {
    int length = content == null ? 0 : content.remaining();
    int total = size + length;
    if (total > bytes.length) {
      int expected = contentLength > 0 ? (int) contentLength : 2 * size;
      bytes = Arrays.copyOf(bytes, Math.max(total, expected));
    }
    if (length > 0) {
      content.get(bytes, size, length);
      size = total;
    }
  }

  /** Returns the gathered body, and clears the buffer. */
  byte[] take() {
    byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    bytes = EMPTY;
    size = 0;
    return body;
  }
}
