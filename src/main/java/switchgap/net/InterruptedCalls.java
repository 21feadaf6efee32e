package switchgap.net;

import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.threadpool.Threads;

/**
 * Handling of system calls on non-blocking channels that were interrupted by a signal: they are
 * repeated a few times immediately, and then after a backoff.
 */
final class InterruptedCalls {
  /**
   * Value that the JDK's channels return for an interrupted call ({@code
   * sun.nio.ch.IOStatus.INTERRUPTED}).
   */
  static final int INTERRUPTED = -3;

  /**
   * Number of consecutive interrupted calls after which the thread backs off, because the next call
   * would most likely be interrupted as well.
   */
  static final int MAX_IMMEDIATE_ATTEMPTS = 4;

  private static final long BACKOFF_NANOS = 2_000_000;

  private InterruptedCalls() {}

  /**
   * Parks a selector thread briefly. Without the pause it would spin, since it finds its sockets
   * ready again immediately. Other threads return to their caller without a pause.
   */
  static void backOff() {
    if (Threads.isService()) {
      LockSupport.parkNanos(BACKOFF_NANOS);
    }
  }
}
