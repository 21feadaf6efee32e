package switchgap.net;

import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * Collects the body of one request at a time, for one connection of a server. Not thread-safe: used
 * only on the connection's selector thread.
 */
final class RequestBodyBuffer {
  private static final byte[] EMPTY = new byte[0];

  private byte[] bytes = EMPTY;
  private int size;

  /** The number of bytes collected so far. */
  int size() {
    return size;
  }

  /**
   * Adds a part of the body.
   *
   * @param content the part, or null if it is empty
   * @param contentLength the length that the request head announces, or a value less than 1 if it
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

  /** Returns the collected body and clears the buffer. */
  byte[] take() {
    byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    bytes = EMPTY;
    size = 0;
    return body;
  }
}
