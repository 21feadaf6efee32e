package switchgap.net;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Tracks for how long a listening socket has not accepted connections, because accepts failed or
 * were paused, or because its event loop was stalled. This gives an upper bound on the time for
 * which a newly accepted client was waiting in the kernel's accept queue, and on the age of the
 * first bytes that it sent.
 *
 * <p>Thread-safe: the event loop accepts connections, while other threads pause and resume
 * accepting.
 */
final class AcceptStall {
  /** Time after a stall within which even a full accept queue is processed. */
  private static final long CATCH_UP_NANOS = StallDetector.THRESHOLD.toNanos();

  /** Marks a time as not set. */
  private static final long NOT_SET = Long.MIN_VALUE;

  private static final Attribute<AcceptStall> STALL_ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.accept-stall", () -> new AcceptStall(System::nanoTime));

  private final LongSupplier nanoClock;
  private long stallStartedNanos = NOT_SET;
  private long stallEndedNanos = NOT_SET;
  private boolean acceptsFailing;
  private boolean paused;

  /**
   * Creates the tracker of a socket that is accepting connections.
   *
   * @param nanoClock returns monotonic time in nanoseconds
   */
  AcceptStall(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /** Returns the tracker of a listening socket, and creates it on first use. */
  static AcceptStall of(Connection<?> listener) {
    return STALL_ATTRIBUTE.get(listener);
  }

  /**
   * Records that an accept failed. Accepts are considered failing until {@link #acceptSucceeded}.
   */
  synchronized void acceptFailed() {
    startStall();
    acceptsFailing = true;
  }

  /** Records that an accept succeeded or found the queue empty. */
  synchronized void acceptSucceeded() {
    acceptsFailing = false;
    endStallUnlessBlocked();
  }

  /** Records that accepting is suspended on purpose until {@link #resume}. */
  synchronized void pause() {
    startStall();
    paused = true;
  }

  /** Records that accepting is no longer suspended. */
  synchronized void resume() {
    paused = false;
    endStallUnlessBlocked();
  }

  /** Whether accepting is suspended by {@link #pause}. */
  synchronized boolean isPaused() {
    return paused;
  }

  /**
   * Records that the event loop polls the socket again.
   *
   * @param delay maximum time for which the event loop may have been stalled, or zero if it was not
   */
  synchronized void eventLoopResumed(Duration delay) {
    if (!delay.isZero() && maxAcceptDelay().compareTo(delay) < 0) {
      stallStartedNanos = nanoClock.getAsLong() - delay.toNanos();
      stallEndedNanos = nanoClock.getAsLong();
    }
  }

  /**
   * Returns the maximum time for which a client that is accepted now may have been waiting. Zero
   * unless accepting is stalled or was stalled until recently.
   */
  synchronized Duration maxAcceptDelay() {
    if (stallStartedNanos == NOT_SET) {
      return Duration.ZERO;
    }
    long now = nanoClock.getAsLong();
    if (stallEndedNanos != NOT_SET && now - stallEndedNanos > CATCH_UP_NANOS) {
      stallStartedNanos = NOT_SET;
      stallEndedNanos = NOT_SET;
      return Duration.ZERO;
    }
    return Duration.ofNanos(now - stallStartedNanos);
  }

  /** Starts a stall, or continues a previous stall if clients from it may still be waiting. */
  private void startStall() {
    if (maxAcceptDelay().isZero()) {
      stallStartedNanos = nanoClock.getAsLong();
    }
    stallEndedNanos = NOT_SET;
  }

  private void endStallUnlessBlocked() {
    boolean isOngoing = stallStartedNanos != NOT_SET && stallEndedNanos == NOT_SET;
    if (isOngoing && !acceptsFailing && !paused) {
      stallEndedNanos = nanoClock.getAsLong();
    }
  }
}
