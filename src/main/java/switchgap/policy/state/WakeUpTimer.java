package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/**
 * The next wake-up of a policy. Wake-ups that were scheduled for later than the next are ignored.
 */
public final class WakeUpTimer {
  private Duration next; // null while none is scheduled
  private long token;

  /** A wake-up came. */
  public void fired(long firedToken) {
    next = firedToken == token ? null : next;
  }

  /** Schedules a wake-up, unless an earlier one is scheduled that is not overdue. */
  public void schedule(Duration due, Duration now, PolicyActions actions) {
    boolean overdue = next != null && Durations.isShorter(next, now);
    if (next == null || overdue || Durations.isShorter(due, next)) {
      actions.scheduleWakeUp(due.minus(now), ++token);
      next = due;
    }
  }
}
