package switchgap.protocol.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Decodes server-sent events from a stream of bytes that may be split anywhere. An event counts
 * once its blank line has come; an id counts for its own event only. For one thread.
 */
public final class ServerSentEventDecoder {
  private static final String DATA_FIELD = "data";
  private static final String ID_FIELD = "id";
  private static final char NAME_END = ':';

  /** May follow the colon, and is no part of the value. */
  private static final String VALUE_PREFIX = " ";

  private final int maxBytes;
  private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String id;
  private boolean afterCarriageReturn;
  private long lineCount;

  /**
   * A decoder at the beginning of a stream.
   *
   * @param maxBytes bytes of a line, and characters of an event's data
   */
  public ServerSentEventDecoder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Decodes further bytes and hands on each event's id (null where it has none) and data. False
   * where a line or an event is too long: the stream cannot be read any further.
   */
  public boolean take(byte[] bytes, BiConsumer<String, String> eventHandler) {
    for (byte next : bytes) {
      boolean isSecondOfLineEnd = next == '\n' && afterCarriageReturn;
      afterCarriageReturn = next == '\r';
      if (isSecondOfLineEnd) {
        continue;
      }
      boolean isWithinBounds =
          (next == '\r' || next == '\n') ? endLine(eventHandler) : append(next);
      if (!isWithinBounds) {
        return false;
      }
    }
    return true;
  }

  /** Lines that have come whole, comments too. */
  public long lines() {
    return lineCount;
  }

  private boolean append(byte next) {
    if (lineBytes.size() >= maxBytes) {
      return false;
    }
    lineBytes.write(next);
    return true;
  }

  private boolean endLine(BiConsumer<String, String> eventHandler) {
    lineCount++;
    String line = lineBytes.toString(StandardCharsets.UTF_8);
    lineBytes.reset();
    if (line.isEmpty()) {
      endEvent(eventHandler);
    } else {
      readField(line);
    }
    return data.length() <= maxBytes;
  }

  private void endEvent(BiConsumer<String, String> eventHandler) {
    if (data.length() > 0) {
      eventHandler.accept(id, data.substring(0, data.length() - 1)); // without the last line's end
    }
    data.setLength(0);
    id = null;
  }

  private void readField(String line) {
    int colon = line.indexOf(NAME_END);
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
