package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.PolicyEvents;

/**
 * What the parts of one core share: the time of the current tick, the timers, and whom they notify.
 * Belongs to the event loop.
 */
final class CoreContext {
  private final TimerQueue timers = new TimerQueue();
  private Duration now = Duration.ZERO;
  private PolicyEvents policyEvents;
  private RequestObserver observer = (request, response) -> {};

  /** A tick begins at a time since the router's start. */
  void tickStarted(Duration time) {
    now = time;
  }

  /** The policy takes events from now on, until {@link #eventsClosed}. */
  void eventsOpened(PolicyEvents events) {
    policyEvents = events;
  }

  /** The policy has all events of the tick. */
  void eventsClosed() {
    policyEvents = null;
  }

  /** Replaces the observer. */
  void observe(RequestObserver replacement) {
    observer = replacement;
  }

  /** Time of the current tick, since the router's start. */
  Duration now() {
    return now;
  }

  /** The timers of the core; what they run may notify the policy. */
  TimerQueue timers() {
    return timers;
  }

  /** Notifies the policy; null while it decides and between ticks. */
  PolicyEvents policyEvents() {
    return policyEvents;
  }

  /** The observer, never null. */
  RequestObserver observer() {
    return observer;
  }
}
