package switchgap.net;

import java.io.ByteArrayOutputStream;

/**
 * Gathers the body of one response at a time, up to a bound. Not thread-safe: it is cleared before
 * a request is written, and from then on belongs to the connection's selector thread.
 */
final class ResponseBodyBuffer {
  private final int maxBytes;

  /** Null until the first part comes, as most responses have a short body or none. */
  private ByteArrayOutputStream gathered;

  ResponseBodyBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Drops what was gathered. */
  void clear() {
    gathered = null;
  }

  /**
   * Adds a part.
   *
   * @return false, and nothing is added, if the body would exceed its bound
   */
  boolean append(byte[] part) {
    int size = gathered == null ? 0 : gathered.size();
    if (size + part.length > maxBytes) {
      return false;
    }
    if (gathered == null) {
      gathered = new ByteArrayOutputStream(part.length);
    }
    gathered.write(part, 0, part.length);
    return true;
  }

  /** Returns the gathered body, and clears the buffer. */
  byte[] take() {
    byte[] body = gathered == null ? new byte[0] : gathered.toByteArray();
    gathered = null;
    return body;
  }
}
