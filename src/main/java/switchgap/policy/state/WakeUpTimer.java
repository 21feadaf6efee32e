package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/**
 * Schedules the next wake-up of a policy. A token identifies the last wake-up that was scheduled;
 * earlier ones are ignored when they fire.
 */
public final class WakeUpTimer {
  /** Time of the scheduled wake-up; null if none is scheduled. */
  private Duration scheduledAt;

  private long token;

  /** Records that a wake-up fired. */
  public void fired(long firedToken) {
    scheduledAt = firedToken == token ? null : scheduledAt;
  }

  /** Schedules a wake-up, unless one is already scheduled that is no later and not overdue. */
  public void schedule(Duration due, Duration now, PolicyActions actions) {
    boolean isOverdue = scheduledAt != null && Durations.isShorter(scheduledAt, now);
    if (scheduledAt == null || isOverdue || Durations.isShorter(due, scheduledAt)) {
      actions.scheduleWakeUp(due.minus(now), ++token);
      scheduledAt = due;
    }
  }
}
