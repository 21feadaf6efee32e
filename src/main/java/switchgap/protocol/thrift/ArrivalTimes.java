package switchgap.protocol.thrift;

import java.time.Duration;

/**
 * Determines when the bytes that are read from one connection may have arrived. They may be older
 * than the read that returns them, as they waited in the kernel. Selector thread only.
 */
final class ArrivalTimes {
  /** Value of {@link #firstReadReceivedAt} if the bytes of the first read had not waited. */
  private static final Duration NO_EARLIER_BOUND = Duration.ofSeconds(Long.MAX_VALUE);

  /** Earliest possible arrival of the first read's bytes; null before it. */
  private Duration firstReadReceivedAt;

  /**
   * Time since which bytes may have been waiting in the socket, because it has not been read empty
   * since; null if none can.
   */
  private Duration unreadSince;

  /** Records that bytes that arrive from now on may wait, because reading pauses. */
  void readingPaused(Duration now) {
    if (unreadSince == null) {
      unreadSince = now;
    }
  }

  /**
   * Returns the earliest time at which the bytes of the current read may have arrived: as early as
   * those of the reads before, if these left bytes in the socket. If the bytes of the first read
   * had waited in the kernel, the rest of the first message may have waited as long, even if it is
   * read in several parts.
   *
   * @param receivedAt the earliest arrival time that follows from this read alone
   * @param receiveDelay the maximum time that the bytes of this read may have waited
   * @param isReadEmpty whether this read leaves no bytes in the socket
   * @param hasReceivedMessage whether a complete message has been received before
   */
  Duration earliest(
      Duration receivedAt, Duration receiveDelay, boolean isReadEmpty, boolean hasReceivedMessage) {
    Duration earliest = earlierOf(unreadSince, receivedAt);
    unreadSince = isReadEmpty ? null : earliest;
    if (hasReceivedMessage) {
      return earliest;
    }
    if (firstReadReceivedAt == null) {
      firstReadReceivedAt = receiveDelay.isZero() ? NO_EARLIER_BOUND : receivedAt;
    }
    return earlierOf(firstReadReceivedAt, earliest);
  }

  private static Duration earlierOf(Duration boundOrNull, Duration time) {
    return boundOrNull != null && boundOrNull.compareTo(time) < 0 ? boundOrNull : time;
  }
}
