package switchgap.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Decodes a stream of bytes into frames. A frame consists of a big-endian length of four bytes,
 * followed by that number of bytes. A length out of bounds is rejected before any bytes of the
 * frame are buffered. Not thread-safe: each connection has its own decoder.
 */
public final class FrameDecoder {
  private static final int HEADER_BYTES = Integer.BYTES;

  /**
   * Initial size of a frame's buffer, which grows with the bytes that arrive rather than with the
   * length that the peer announces.
   */
  private static final int INITIAL_BUFFER_BYTES = 512;

  private final int maxFrameBytes;
  private final byte[] header = new byte[HEADER_BYTES];
  private int headerBytesRead;
  private byte[] frame;
  private int frameLength;
  private int frameBytesRead;

  /** Creates a decoder that accepts frames of 1 to {@code maxFrameBytes} bytes. */
  public FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Whether a frame, including its length, has been received only in part. */
  public boolean hasPartialFrame() {
    return headerBytesRead > 0;
  }

  /**
   * Consumes bytes and passes each frame that they complete to the consumer.
   *
   * @return false if a length is out of bounds; the stream can't be decoded any further then, and
   *     this decoder must not be used again
   */
  public boolean decode(ByteBuffer input, Consumer<byte[]> frameConsumer) {
    while (input.hasRemaining()) {
      if (headerBytesRead < HEADER_BYTES) {
        header[headerBytesRead] = input.get();
        headerBytesRead++;
        if (headerBytesRead < HEADER_BYTES) {
          continue;
        }
        if (!startFrame(input.remaining())) {
          return false;
        }
      }
      readContent(input);
      if (frameBytesRead == frameLength) {
        frameConsumer.accept(takeFrame());
      }
    }
    return true;
  }

  /** Starts a frame after its header is complete. Returns false if the length is out of bounds. */
  private boolean startFrame(int availableBytes) {
    frameLength = ByteBuffer.wrap(header).getInt();
    if (frameLength <= 0 || frameLength > maxFrameBytes) {
      return false;
    }
    frame = new byte[Math.min(frameLength, Math.max(INITIAL_BUFFER_BYTES, availableBytes))];
    frameBytesRead = 0;
    return true;
  }

  private byte[] takeFrame() {
    byte[] complete = frame;
    frame = null;
    headerBytesRead = 0;
    return complete;
  }

  private void readContent(ByteBuffer input) {
    int count = Math.min(input.remaining(), frameLength - frameBytesRead);
    if (frameBytesRead + count > frame.length) {
      int capacity = Math.max(frameBytesRead + count, 2 * frame.length);
      frame = Arrays.copyOf(frame, Math.min(frameLength, capacity));
    }
    input.get(frame, frameBytesRead, count);
    frameBytesRead += count;
  }

  /** The length in the last header that was read; after a rejection, the rejected length. */
  public int frameLength() {
    return frameLength;
  }
}
