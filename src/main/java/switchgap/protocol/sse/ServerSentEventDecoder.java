package switchgap.protocol.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Decodes server-sent events from a byte stream that may be split at any position. A blank line
 * completes an event; an id applies only to the event that contains it. Not thread-safe.
 */
public final class ServerSentEventDecoder {
  /** Receives each complete event. */
  public interface EventHandler {
    /**
     * Handles a complete event.
     *
     * @param id the event's id, or null if it has none
     * @param data the event's data, with line feeds between the lines
     */
    void eventDecoded(String id, String data);
  }

  private static final String DATA_FIELD = "data";
  private static final String ID_FIELD = "id";
  private static final char NAME_END = ':';

  /** Optional separator after the colon that is not part of the value. */
  private static final String VALUE_PREFIX = " ";

  private final int maxBytes;
  private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String id;
  private boolean isAfterCarriageReturn;
  private long lineCount;
  private long commentCount;

  /**
   * Creates a decoder for one stream.
   *
   * @param maxBytes maximum bytes of a line, and maximum characters of an event's data
   */
  public ServerSentEventDecoder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Decodes further bytes and passes each event that they complete to the handler.
   *
   * @return false if a line or an event is too long; the stream must not be decoded any further
   *     then
   */
  public boolean decode(byte[] bytes, EventHandler handler) {
    for (byte nextByte : bytes) {
      boolean isSecondOfLineEnd = nextByte == '\n' && isAfterCarriageReturn;
      isAfterCarriageReturn = nextByte == '\r';
      if (isSecondOfLineEnd) {
        continue;
      }
      boolean isWithinBounds =
          (nextByte == '\r' || nextByte == '\n') ? endLine(handler) : append(nextByte);
      if (!isWithinBounds) {
        return false;
      }
    }
    return true;
  }

  /** The number of complete lines so far, including comments and blank lines. */
  public long lineCount() {
    return lineCount;
  }

  /** The number of complete comments so far. */
  public long commentCount() {
    return commentCount;
  }

  /** Whether fields of an event have been read, but not its terminating blank line. */
  public boolean hasPartialEvent() {
    return data.length() > 0 || id != null;
  }

  private boolean append(byte nextByte) {
    if (lineBytes.size() >= maxBytes) {
      return false;
    }
    lineBytes.write(nextByte);
    return true;
  }

  private boolean endLine(EventHandler handler) {
    lineCount++;
    String line = lineBytes.toString(StandardCharsets.UTF_8);
    lineBytes.reset();
    if (line.isEmpty()) {
      endEvent(handler);
    } else {
      readField(line);
    }
    return data.length() <= maxBytes;
  }

  private void endEvent(EventHandler handler) {
    if (data.length() > 0) {
      handler.eventDecoded(id, data.substring(0, data.length() - 1)); // drops the last line feed
    }
    data.setLength(0);
    id = null;
  }

  private void readField(String line) {
    int colon = line.indexOf(NAME_END);
    commentCount += colon == 0 ? 1 : 0;
    String name = colon < 0 ? line : line.substring(0, colon);
    String value = "";
    if (colon >= 0) {
      int valueStart = colon + 1;
      boolean hasPrefix = line.startsWith(VALUE_PREFIX, valueStart);
      value = line.substring(hasPrefix ? valueStart + VALUE_PREFIX.length() : valueStart);
    }
    if (name.equals(DATA_FIELD)) {
      data.append(value).append('\n');
    } else if (name.equals(ID_FIELD)) {
      id = value;
    }
  }
}
