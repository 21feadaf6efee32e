package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Decodes RESP arrays of bulk strings from a stream of bytes that may be split anywhere. Each
 * length is validated before it is used, and memory grows with the bytes received rather than with
 * the lengths announced. A decoder belongs to one connection and runs on its selector thread. It
 * must not be used after an exception.
 */
final class RespDecoder {
  /** Receives each array as soon as it is complete. */
  interface ArrayHandler {
    /**
     * Handles a complete array.
     *
     * @throws MalformedReplyException if its parts do not form a valid reply
     */
    void arrayDecoded(byte[][] parts) throws MalformedReplyException;
  }

  /** The element of the stream to which the next byte belongs. */
  private enum State {
    /** The first byte of an array or a string: {@code *} or {@code $}. */
    TYPE,
    /** A digit of the length, or the carriage return after it. */
    LENGTH,
    /** The line feed after the length. */
    LENGTH_LINE_FEED,
    /** A byte of a string's content. */
    CONTENT,
    /** The carriage return after the content. */
    CONTENT_CARRIAGE_RETURN,
    /** The line feed after the content. */
    CONTENT_LINE_FEED
  }

  private static final int MAX_PARTS = 8;
  private static final int MAX_LENGTH_DIGITS = 8;
  private static final int INITIAL_CONTENT_CAPACITY = 256;
  private static final int DECIMAL_BASE = 10;

  private final int maxStringBytes;
  private State state = State.TYPE;

  /** Parts of the array being read, or null between two arrays. */
  private byte[][] parts;

  private int completeParts;

  /**
   * Content of the string being read. The array may be shorter than {@link #contentLength}; it
   * grows as bytes arrive.
   */
  private byte[] content;

  private int contentLength;
  private int contentBytesRead;
  private int announcedLength;
  private int lengthDigits;

  /** Creates a decoder that rejects strings of more than {@code maxStringBytes}. */
  RespDecoder(int maxStringBytes) {
    this.maxStringBytes = maxStringBytes;
  }

  /**
   * Decodes all bytes and passes each array that they complete to the handler.
   *
   * @throws MalformedReplyException if the bytes are not an array of bulk strings, if a length
   *     exceeds its limit, or if the handler rejects an array
   */
  void decode(ByteBuffer bytes, ArrayHandler handler) throws MalformedReplyException {
    while (bytes.hasRemaining()) {
      switch (state) {
        case TYPE -> readType(bytes.get());
        case LENGTH -> readLength(bytes.get());
        case LENGTH_LINE_FEED -> {
          expect('\n', bytes.get());
          endLength();
        }
        case CONTENT -> readContent(bytes);
        case CONTENT_CARRIAGE_RETURN -> {
          expect('\r', bytes.get());
          state = State.CONTENT_LINE_FEED;
        }
        case CONTENT_LINE_FEED -> {
          expect('\n', bytes.get());
          endString(handler);
        }
        default -> throw new IllegalStateException(state.name());
      }
    }
  }

  private static void expect(char expected, byte found) throws MalformedReplyException {
    if (found != expected) {
      throw new MalformedReplyException("got byte " + found + " instead of byte " + (int) expected);
    }
  }

  private void readType(byte type) throws MalformedReplyException {
    expect(parts == null ? '*' : '$', type);
    announcedLength = 0;
    lengthDigits = 0;
    state = State.LENGTH;
  }

  private void readLength(byte next) throws MalformedReplyException {
    if (next == '\r' && lengthDigits > 0) {
      state = State.LENGTH_LINE_FEED;
    } else if (next >= '0' && next <= '9' && lengthDigits < MAX_LENGTH_DIGITS) {
      announcedLength = announcedLength * DECIMAL_BASE + next - '0';
      lengthDigits++;
    } else {
      throw new MalformedReplyException("invalid byte " + next + " in a length");
    }
  }

  private void endLength() throws MalformedReplyException {
    if (parts == null) {
      beginArray();
    } else {
      beginString();
    }
  }

  private void beginArray() throws MalformedReplyException {
    if (announcedLength == 0 || announcedLength > MAX_PARTS) {
      throw new MalformedReplyException(
          "array of " + announcedLength + " parts instead of 1 to " + MAX_PARTS);
    }
    parts = new byte[announcedLength][];
    completeParts = 0;
    state = State.TYPE;
  }

  private void beginString() throws MalformedReplyException {
    if (announcedLength > maxStringBytes) {
      throw new MalformedReplyException(
          "string of " + announcedLength + " bytes exceeds the limit");
    }
    contentLength = announcedLength;
    contentBytesRead = 0;
    content = new byte[Math.min(contentLength, INITIAL_CONTENT_CAPACITY)];
    state = contentLength == 0 ? State.CONTENT_CARRIAGE_RETURN : State.CONTENT;
  }

  private void readContent(ByteBuffer bytes) {
    int count = Math.min(bytes.remaining(), contentLength - contentBytesRead);
    int requiredCapacity = contentBytesRead + count;
    if (requiredCapacity > content.length) {
      content =
          Arrays.copyOf(
              content, Math.min(contentLength, Math.max(requiredCapacity, 2 * content.length)));
    }
    bytes.get(content, contentBytesRead, count);
    contentBytesRead = requiredCapacity;
    if (contentBytesRead == contentLength) {
      state = State.CONTENT_CARRIAGE_RETURN;
    }
  }

  private void endString(ArrayHandler handler) throws MalformedReplyException {
    parts[completeParts++] = content;
    content = null;
    state = State.TYPE;
    if (completeParts == parts.length) {
      byte[][] array = parts;
      parts = null;
      handler.arrayDecoded(array);
    }
  }
}
