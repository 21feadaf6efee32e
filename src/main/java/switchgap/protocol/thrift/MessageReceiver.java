package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import switchgap.net.FrameDecoder;
import switchgap.net.StallHistory;

/**
 * Splits the bytes of one connection into frames and knows since when a message is due. Written on
 * the selector thread, read on the event loop as well.
 */
final class MessageReceiver {
  /** Bytes of one message, its length not included. */
  private static final int MAX_FRAME_BYTES = 32 << 10;

  private final FrameDecoder frames = new FrameDecoder(MAX_FRAME_BYTES);
  private volatile boolean hasPartialMessage;
  private volatile boolean hasReceivedMessage;

  /**
   * Time of the connect, or of the first byte of an incomplete message; null while no message is
   * due.
   */
  private volatile Duration dueSince;

  /** A receiver of a connection that was opened at this time. */
  MessageReceiver(Duration openedAt) {
    dueSince = openedAt;
  }

  /** Hands on each complete frame; returns false, for good, at a length that is out of bounds. */
  boolean receive(ByteBuffer bytes, Consumer<byte[]> frameHandler, Duration now) {
    boolean isWithinBounds = frames.decode(bytes, frameHandler);
    hasPartialMessage = frames.hasPartialFrame();
    if (!hasPartialMessage) {
      dueSince = null;
    } else if (dueSince == null) {
      dueSince = now;
    }
    return isWithinBounds;
  }

  /** A complete message came. */
  void messageReceived() {
    hasReceivedMessage = true;
    dueSince = null;
  }

  /** Whether a complete message ever came. */
  boolean hasReceivedMessage() {
    return hasReceivedMessage;
  }

  /** Whether only a part of a message has come. */
  boolean hasPartialMessage() {
    return hasPartialMessage;
  }

  /** Whether a message is due for longer than the timeout; stalls of the process do not count. */
  boolean isOverdue(Duration now, Duration timeout, StallHistory stalls) {
    Duration since = dueSince;
    return since != null && stalls.elapsedExcludingStalls(since, now).compareTo(timeout) > 0;
  }
}
