package switchgap.endpoints;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Decodes lines of UTF-8, each ended by a line feed, from a stream of bytes that may be split
 * anywhere. For one thread.
 */
final class LineDecoder {
  private final int maxLineBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  LineDecoder(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Decodes further bytes and hands on each line that they complete, without its end.
   *
   * @return false where a line is too long: the stream must not be decoded any further
   */
  boolean decode(byte[] bytes, Consumer<String> lineHandler) {
    for (byte next : bytes) {
      if (next == '\n') {
        lineHandler.accept(line.toString(StandardCharsets.UTF_8));
        line.reset();
      } else if (line.size() < maxLineBytes) {
        line.write(next);
      } else {
        return false;
      }
    }
    return true;
  }
}
