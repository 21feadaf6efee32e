package switchgap.net;

import java.time.Duration;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * How long clients of a listener may have waited in the system's backlog, as nothing was accepted:
 * accepts failed, or were paused. What such a client sent meanwhile is as old. Thread-safe.
 */
final class AcceptHoldUp {
  private static final Attribute<AcceptHoldUp> OF_LISTENER =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.accept-hold-up", AcceptHoldUp::new);

  /** Time in which a full backlog is accepted. */
  private static final long CATCH_UP_NANOS = PauseDetector.THRESHOLD.toNanos();

  private static final long NONE = Long.MIN_VALUE;

  private long heldUpSinceNanos = NONE;
  private long resumedNanos = NONE;
  private boolean failing;
  private boolean paused;

  /** That of a listener. */
  static AcceptHoldUp of(Connection<?> listener) {
    return OF_LISTENER.get(listener);
  }

  /** An accept failed; others will. */
  synchronized void failed() {
    hold();
    failing = true;
  }

  /** An accept did not fail. */
  synchronized void accepted() {
    failing = false;
    release();
  }

  /** Nothing is accepted from now on, on purpose. */
  synchronized void paused() {
    hold();
    paused = true;
  }

  /** What was paused goes on. */
  synchronized void resumed() {
    paused = false;
    release();
  }

  /** Whether nothing is to be accepted. */
  synchronized boolean isPaused() {
    return paused;
  }

  private void hold() {
    if (possibleDelay().isZero()) {
      heldUpSinceNanos = System.nanoTime();
    }
    resumedNanos = NONE;
  }

  private void release() {
    if (!failing && !paused && heldUpSinceNanos != NONE && resumedNanos == NONE) {
      resumedNanos = System.nanoTime();
    }
  }

  /** The selector looks again after it was held up for so long; zero where it was not. */
  synchronized void selectorHeldUp(Duration delay) {
    if (!delay.isZero() && possibleDelay().compareTo(delay) < 0) {
      heldUpSinceNanos = System.nanoTime() - delay.toNanos();
      resumedNanos = System.nanoTime();
    }
  }

  /** How long a client that is accepted now may have waited; zero as a rule. */
  synchronized Duration possibleDelay() {
    if (heldUpSinceNanos == NONE) {
      return Duration.ZERO;
    }
    long now = System.nanoTime();
    if (resumedNanos != NONE && now - resumedNanos > CATCH_UP_NANOS) {
      heldUpSinceNanos = NONE;
      resumedNanos = NONE;
      return Duration.ZERO;
    }
    return Duration.ofNanos(now - heldUpSinceNanos);
  }
}
