package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import switchgap.net.FrameDecoder;
import switchgap.net.StallHistory;

/**
 * Splits the bytes of one connection into frames and tracks since when a message is due. The
 * selector thread updates it; the event loop reads it as well.
 */
final class MessageReceiver {
  /** Maximum bytes of one message, without its length prefix. */
  private static final int MAX_FRAME_BYTES = 32 << 10;

  private final FrameDecoder frames = new FrameDecoder(MAX_FRAME_BYTES);
  private volatile boolean hasPartialMessage;
  private volatile boolean hasReceivedMessage;

  /**
   * Time of the connect, or of the first byte of a partial message; null while no message is due.
   */
  private volatile Duration dueSince;

  /** Creates a receiver for a connection that was opened at the given time. */
  MessageReceiver(Duration openedAt) {
    dueSince = openedAt;
  }

  /**
   * Passes each complete frame to the handler; returns false from the first frame length that is
   * out of bounds.
   */
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

  /** Records that a complete message was received. */
  void messageReceived() {
    hasReceivedMessage = true;
    dueSince = null;
  }

  /**
   * Restarts the time for which a message has been due. Must be called only while no bytes are
   * being read.
   */
  void restartDueTime(Duration now) {
    if (dueSince != null) {
      dueSince = now;
    }
  }

  /** Whether a complete message has ever been received. */
  boolean hasReceivedMessage() {
    return hasReceivedMessage;
  }

  /** Whether the last message has been received only in part. */
  boolean hasPartialMessage() {
    return hasPartialMessage;
  }

  /**
   * Whether a message has been due for longer than the timeout, not counting stalls of the process.
   */
  boolean isOverdue(Duration now, Duration timeout, StallHistory stalls) {
    Duration since = dueSince;
    return since != null && stalls.elapsedExcludingStalls(since, now).compareTo(timeout) > 0;
  }
}
