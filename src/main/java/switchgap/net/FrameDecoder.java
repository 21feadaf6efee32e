package switchgap.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Decodes a stream of bytes into frames: a length of four bytes (big-endian), then as many bytes. A
 * length out of bounds is rejected before any of its bytes are gathered. Not thread-safe: one
 * decoder belongs to one connection.
 */
public final class FrameDecoder {
  private static final int HEADER_BYTES = Integer.BYTES;

  /** A frame's array grows with the bytes that arrive, not with the length that a peer claims. */
  private static final int INITIAL_BUFFER_BYTES = 512;

  private final int maxFrameBytes;
  private final byte[] header = new byte[HEADER_BYTES];
  private int headerBytes;
  private byte[] frame;
  private int frameLength;
  private int frameBytes;

  /** A decoder of frames of 1 to {@code maxFrameBytes} bytes. */
  public FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Whether the first bytes of a frame have come and its last ones have not. */
  public boolean hasPartialFrame() {
    return headerBytes > 0;
  }

  /**
   * Consumes bytes and passes on each frame that they complete.
   *
   * @return false at a length out of bounds: the stream can't be decoded any further, and this
   *     decoder must not be used again
   */
  public boolean decode(ByteBuffer input, Consumer<byte[]> frameConsumer) {
    while (input.hasRemaining()) {
      if (headerBytes < HEADER_BYTES) {
        header[headerBytes] = input.get();
        headerBytes++;
        if (headerBytes < HEADER_BYTES) {
          continue;
        }
        if (!startFrame(input.remaining())) {
          return false;
        }
      }
      gather(input);
      if (frameBytes == frameLength) {
        frameConsumer.accept(takeFrame());
      }
    }
    return true;
  }

  /** The header is complete. Returns false if its length is out of bounds. */
  private boolean startFrame(int availableBytes) {
    frameLength = ByteBuffer.wrap(header).getInt();
    if (frameLength <= 0 || frameLength > maxFrameBytes) {
      return false;
    }
    frame = new byte[Math.min(frameLength, Math.max(INITIAL_BUFFER_BYTES, availableBytes))];
    frameBytes = 0;
    return true;
  }

  private byte[] takeFrame() {
    byte[] complete = frame;
    frame = null;
    headerBytes = 0;
    return complete;
  }

  private void gather(ByteBuffer input) {
    int count = Math.min(input.remaining(), frameLength - frameBytes);
    if (frameBytes + count > frame.length) {
      int capacity = Math.max(frameBytes + count, 2 * frame.length);
      frame = Arrays.copyOf(frame, Math.min(frameLength, capacity));
    }
    input.get(frame, frameBytes, count);
    frameBytes += count;
  }

  /** The length in the header that was read last: after a rejection, the one that was rejected. */
  public int frameLength() {
    return frameLength;
  }
}
