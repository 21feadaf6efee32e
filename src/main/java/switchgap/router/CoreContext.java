package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.PolicyEvents;

/**
 * State shared by the components of a core: the time of the current tick, the timers, the receiver
 * of policy events and the observer. Confined to the event loop thread.
 */
final class CoreContext {
  private final TimerQueue timers = new TimerQueue();
  private Duration now = Duration.ZERO;
  private Duration timerDelay = Duration.ZERO;
  private PolicyEvents policyEvents;
  private RequestObserver observer = (request, response) -> {};

  /** Starts a tick. {@code time} is measured from the router's start. */
  void startTick(Duration time) {
    now = time;
  }

  /** Sets the receiver of policy events, which accepts events until {@link #closeEvents}. */
  void openEvents(PolicyEvents events) {
    policyEvents = events;
  }

  /** Records a delay of timers, to be reported in the next tick. */
  void recordTimerDelay(Duration delay) {
    timerDelay = delay.compareTo(timerDelay) > 0 ? delay : timerDelay;
  }

  /** Reports the longest delay of timers since the last report, if there was any. */
  void reportTimerDelay() {
    if (!timerDelay.isZero()) {
      policyEvents.timersDelayed(timerDelay);
      timerDelay = Duration.ZERO;
    }
  }

  /** Marks the end of the events of the tick. */
  void closeEvents() {
    policyEvents = null;
  }

  void observe(RequestObserver newObserver) {
    observer = newObserver;
  }

  /** The time of the current tick, since the router's start. */
  Duration now() {
    return now;
  }

  /** The timers of the core. Their tasks run while the policy accepts events. */
  TimerQueue timers() {
    return timers;
  }

  /** The receiver of policy events; null between ticks and while the policy makes decisions. */
  PolicyEvents policyEvents() {
    return policyEvents;
  }

  /** The observer, never null. */
  RequestObserver observer() {
    return observer;
  }
}
