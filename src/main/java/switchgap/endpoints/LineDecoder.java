package switchgap.endpoints;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Decodes UTF-8 lines, each terminated by a line feed, from a stream of bytes that may be split
 * anywhere. Not thread-safe.
 */
final class LineDecoder {
  private final int maxLineBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  LineDecoder(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Decodes bytes and passes each line that they complete to the handler, without its line feed.
   *
   * @return false if a line is too long; the stream must not be decoded any further then
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
