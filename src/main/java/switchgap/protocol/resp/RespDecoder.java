package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Decodes RESP arrays of bulk strings from a stream of bytes that may be split anywhere. Each
 * length is checked before it is used, and memory grows with the bytes received, not with the
 * lengths announced. One decoder serves one connection, on its selector thread; after an exception
 * it must not be used again.
 */
final class RespDecoder {
  /** Receives each array as soon as it is complete. */
  interface ArrayHandler {
    /**
     * An array is complete.
     *
     * @throws MalformedReplyException where its parts are no valid reply
     */
    void arrayDecoded(byte[][] parts) throws MalformedReplyException;
  }

  /** The element of the stream that the next byte belongs to. */
  private enum State {
    /** The first of an array or a string: {@code *} or {@code $}. */
    TYPE,
    /** A digit of the length, or the carriage return after it. */
    LENGTH,
    /** The line feed after the length. */
    LENGTH_LINE_FEED,
    /** Content of a string. */
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

  /** Parts of the array that is being read; null between two arrays. */
  private byte[][] parts;

  private int completeParts;

  /** Content of the string that is being read; its capacity may be less than its length. */
  private byte[] content;

  private int contentLength;
  private int contentRead;
  private int length;
  private int lengthDigits;

  /** Creates a decoder that rejects strings of more than so many bytes. */
  RespDecoder(int maxStringBytes) {
    this.maxStringBytes = maxStringBytes;
  }

  /**
   * Decodes all bytes and hands on each array that they complete.
   *
   * @throws MalformedReplyException where the bytes are no array of bulk strings, one that exceeds
   *     a bound, or one that the handler rejects
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
      throw new MalformedReplyException(
          "byte " + found + " where byte " + (int) expected + " is due");
    }
  }

  private void readType(byte type) throws MalformedReplyException {
    expect(parts == null ? '*' : '$', type);
    length = 0;
    lengthDigits = 0;
    state = State.LENGTH;
  }

  private void readLength(byte next) throws MalformedReplyException {
    if (next == '\r' && lengthDigits > 0) {
      state = State.LENGTH_LINE_FEED;
    } else if (next >= '0' && next <= '9' && lengthDigits < MAX_LENGTH_DIGITS) {
      length = length * DECIMAL_BASE + next - '0';
      lengthDigits++;
    } else {
      throw new MalformedReplyException("byte " + next + " in a length");
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
    if (length == 0 || length > MAX_PARTS) {
      throw new MalformedReplyException("array of " + length + " parts");
    }
    parts = new byte[length][];
    completeParts = 0;
    state = State.TYPE;
  }

  private void beginString() throws MalformedReplyException {
    if (length > maxStringBytes) {
      throw new MalformedReplyException("string of " + length + " bytes");
    }
    contentLength = length;
    contentRead = 0;
    content = new byte[Math.min(contentLength, INITIAL_CONTENT_CAPACITY)];
    state = contentLength == 0 ? State.CONTENT_CARRIAGE_RETURN : State.CONTENT;
  }

  private void readContent(ByteBuffer bytes) {
    int count = Math.min(bytes.remaining(), contentLength - contentRead);
    int needed = contentRead + count;
    if (needed > content.length) {
      content =
          Arrays.copyOf(content, Math.min(contentLength, Math.max(needed, 2 * content.length)));
    }
    bytes.get(content, contentRead, count);
    contentRead = needed;
    if (contentRead == contentLength) {
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
