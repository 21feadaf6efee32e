package switchgap.net;

import java.io.ByteArrayOutputStream;

/**
 * Collects the body of one response at a time, up to a maximum size. Not thread-safe: it is cleared
 * before a request is written, and afterwards used only on the connection's selector thread.
 */
final class ResponseBodyBuffer {
  private final int maxBytes;

  /** Null until the first part arrives, because most responses have a short body or none. */
  private ByteArrayOutputStream collectedBytes;

  ResponseBodyBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Discards the collected bytes. */
  void clear() {
    collectedBytes = null;
  }

  /**
   * Adds a part.
   *
   * @return false if the body would exceed the maximum size; nothing is added then
   */
  boolean append(byte[] part) {
    int size = collectedBytes == null ? 0 : collectedBytes.size();
    if (size + part.length > maxBytes) {
      return false;
    }
    if (collectedBytes == null) {
      collectedBytes = new ByteArrayOutputStream(part.length);
    }
    collectedBytes.write(part, 0, part.length);
    return true;
  }

  /** Returns the collected body and clears the buffer. */
  byte[] take() {
    byte[] body = collectedBytes == null ? new byte[0] : collectedBytes.toByteArray();
    collectedBytes = null;
    return body;
  }
}
