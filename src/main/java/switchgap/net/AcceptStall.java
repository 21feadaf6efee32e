package switchgap.net;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Tracks for how long one listening socket has not accepted connections, because accepts failed,
 * were paused, or its event loop was stalled. From this follows an upper bound of how long a client
 * that is accepted now was waiting in the kernel's accept queue; its first bytes are as old.
 *
 * <p>Thread-safe: the event loop accepts, other threads pause and resume.
 */
final class AcceptStall {
  /** Time after a stall within which a full accept queue has been worked off. */
  private static final long CATCH_UP_NANOS = StallDetector.THRESHOLD.toNanos();

  /** In place of a time: there is none. */
  private static final long NONE = Long.MIN_VALUE;

  private static final Attribute<AcceptStall> OF_LISTENER =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.accept-stall", () -> new AcceptStall(System::nanoTime));

  private final LongSupplier nanoClock;
  private long startedNanos = NONE;
  private long endedNanos = NONE;
  private boolean failing;
  private boolean paused;

  /**
   * A socket that accepts.
   *
   * @param nanoClock monotonic time, nanoseconds
   */
  AcceptStall(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /** The accept stall of a listening socket. */
  static AcceptStall of(Connection<?> listener) {
    return OF_LISTENER.get(listener);
  }

  /** An accept failed; accepts count as failing until {@link #acceptSucceeded}. */
  synchronized void acceptFailed() {
    start();
    failing = true;
  }

  /** An accept succeeded, or found the queue empty. */
  synchronized void acceptSucceeded() {
    failing = false;
    endUnlessBlocked();
  }

  /** Accepting is suspended on purpose, until {@link #resume}. */
  synchronized void pause() {
    start();
    paused = true;
  }

  /** Accepting is no longer suspended. */
  synchronized void resume() {
    paused = false;
    endUnlessBlocked();
  }

  /** Whether accepting is suspended by {@link #pause}. */
  synchronized boolean isPaused() {
    return paused;
  }

  /**
   * The event loop polls the socket again.
   *
   * @param delay how long it may have been stalled at most, or zero if it was not
   */
  synchronized void eventLoopResumed(Duration delay) {
    if (!delay.isZero() && maxAcceptDelay().compareTo(delay) < 0) {
      startedNanos = nanoClock.getAsLong() - delay.toNanos();
      endedNanos = nanoClock.getAsLong();
    }
  }

  /**
   * Returns how long a client that is accepted now may have been waiting, at most; zero unless
   * accepting is or just was stalled.
   */
  synchronized Duration maxAcceptDelay() {
    if (startedNanos == NONE) {
      return Duration.ZERO;
    }
    long now = nanoClock.getAsLong();
    if (endedNanos != NONE && now - endedNanos > CATCH_UP_NANOS) {
      startedNanos = NONE;
      endedNanos = NONE;
      return Duration.ZERO;
    }
    return Duration.ofNanos(now - startedNanos);
  }

  /** Starts a stall, or continues one that clients may still be waiting from. */
  private void start() {
    if (maxAcceptDelay().isZero()) {
      startedNanos = nanoClock.getAsLong();
    }
    endedNanos = NONE;
  }

  private void endUnlessBlocked() {
    boolean open = startedNanos != NONE && endedNanos == NONE;
    if (open && !failing && !paused) {
      endedNanos = nanoClock.getAsLong();
    }
  }
}
