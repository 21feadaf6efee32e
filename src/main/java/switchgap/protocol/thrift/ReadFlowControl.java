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
  private final MessageReceiver receiver;
  private final ArrivalTimes arrivals;
  private final AtomicBoolean isPaused = new AtomicBoolean();

  /**
   * Creates the flow control of a connection that is being read.
   *
   * @param clock returns the time since the router's start
   * @param receiver no message is due while reading is paused
   * @param arrivals bytes may wait in the socket while reading is paused
   */
  ReadFlowControl(
      TcpConnection connection,
      SharedCapacity.Share heap,
      Supplier<Duration> clock,
      MessageReceiver receiver,
      ArrivalTimes arrivals) {
    this.connection = connection;
    this.heap = heap;
    this.clock = clock;
    this.receiver = receiver;
    this.arrivals = arrivals;
  }

  // ------------------------------------------------------------------ callable on any thread

  boolean isPaused() {
    return isPaused.get();
  }

  /** Resumes reading if it is paused and the connection holds no heap any more. */
  void resumeIfDrained() {
    if (isPaused.get() && heap.isEmpty() && isPaused.compareAndSet(true, false)) {
      receiver.restartDueTime(clock.get());
      connection.resumeReading();
    }
  }

  // ------------------------------------------------------------------ selector thread only

  /** Pauses reading if the connection exceeds its share; returns whether it does. */
  boolean pauseIfShareExceeded() {
    if (!heap.isExceeded()) {
      return false;
    }
    arrivals.readingPaused(clock.get());
    connection.pauseReading();
    isPaused.set(true);
    resumeIfDrained(); // the event loop may have emptied the queue before the pause was marked
    return true;
  }
}
