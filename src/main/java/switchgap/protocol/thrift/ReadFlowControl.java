package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import switchgap.net.TcpConnection;

/**
 * Flow control of one connection. Reading pauses while its queued messages and unsent replies
 * exceed its share of the heap for all clients, and resumes once it holds none. Meanwhile TCP makes
 * the client wait, and nothing that was read has to be dropped.
 */
final class ReadFlowControl {
  private final TcpConnection connection;
  private final SharedCapacity.Share heap;
  private final Supplier<Duration> clock;
  private final Runnable beforeResume;
  private final AtomicBoolean isPaused = new AtomicBoolean();

  /**
   * Time since which bytes may have been waiting in the socket, because it has not been read empty
   * since; null if none can. Selector thread only.
   */
  private Duration unreadSince;

  /**
   * Creates the flow control of a connection that is being read.
   *
   * @param clock returns the time since the router's start
   * @param beforeResume runs before reading resumes, on the thread that resumes it
   */
  ReadFlowControl(
      TcpConnection connection,
      SharedCapacity.Share heap,
      Supplier<Duration> clock,
      Runnable beforeResume) {
    this.connection = connection;
    this.heap = heap;
    this.clock = clock;
    this.beforeResume = beforeResume;
  }

  // ------------------------------------------------------------------ callable on any thread

  boolean isPaused() {
    return isPaused.get();
  }

  /** Resumes reading if it is paused and the connection holds no heap any more. */
  void resumeIfDrained() {
    if (isPaused.get() && heap.isEmpty() && isPaused.compareAndSet(true, false)) {
      beforeResume.run();
      connection.resumeReading();
    }
  }

  // ------------------------------------------------------------------ selector thread only

  /** Pauses reading if the connection exceeds its share; returns whether it does. */
  boolean pauseIfShareExceeded() {
    if (!heap.isExceeded()) {
      return false;
    }
    if (unreadSince == null) {
      unreadSince = clock.get();
    }
    connection.pauseReading();
    isPaused.set(true);
    resumeIfDrained(); // the event loop may have emptied the queue before the pause was marked
    return true;
  }

  /**
   * Returns the earliest time at which bytes that are read now may have arrived: as early as those
   * of the reads before, if these left bytes in the socket.
   *
   * @param receivedAt the earliest time if the socket was empty before
   * @param isReadEmpty whether this read leaves no bytes in the socket
   */
  Duration earliestReceivedAt(Duration receivedAt, boolean isReadEmpty) {
    boolean mayBeOlder = unreadSince != null && unreadSince.compareTo(receivedAt) < 0;
    Duration earliest = mayBeOlder ? unreadSince : receivedAt;
    unreadSince = isReadEmpty ? null : earliest;
    return earliest;
  }
}
