package switchgap.net;

import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.threadpool.Threads;

/**
 * How to deal with system calls on non-blocking channels that a signal interrupted: they are
 * repeated, a few times at once, then after a backoff.
 */
final class InterruptedCalls {
  /** What the JDK's channels return for one ({@code sun.nio.ch.IOStatus.INTERRUPTED}). */
  static final int INTERRUPTED = -3;

  /** After this many in succession the thread backs off, as the next is most likely one too. */
  static final int MAX_IMMEDIATE_ATTEMPTS = 4;

  private static final long BACKOFF_NANOS = 2_000_000;

  private InterruptedCalls() {}

  /**
   * Parks a selector thread for a moment: it finds its sockets ready again at once, and would spin.
   * Other threads return to their caller immediately.
   */
  static void backOff() {
    if (Threads.isService()) {
      LockSupport.parkNanos(BACKOFF_NANOS);
    }
  }
}
