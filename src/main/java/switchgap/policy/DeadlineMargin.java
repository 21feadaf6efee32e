package switchgap.policy;

import java.time.Duration;
import switchgap.policy.state.Durations;
import switchgap.policy.state.PolicyState;

/**
 * Determines how long before their deadlines requests get their final response if no attempt has
 * succeeded. Timers on a busy machine are handled late, so the margin follows their recent delays.
 */
final class DeadlineMargin {
  /** Margin if timers are punctual. */
  private static final int MIN_TICKS = 2;

  /** Time for the response to be written, in addition to the delay of the timer. */
  private static final int WRITE_TICKS = 1;

  /**
   * Maximum margin as a share of the shortest timeout; a larger one would waste served requests.
   */
  private static final double MAX_TIMEOUT_SHARE = 0.1;

  private static final Duration DELAY_RETENTION = Duration.ofSeconds(10);

  private final PolicyState state;
  private final Duration min;
  private final Duration max;
  private final Duration writeTime;
  private Duration worstDelay = Duration.ZERO;
  private Duration worstDelayAt = Duration.ZERO;

  DeadlineMargin(PolicyState state) {
    this.state = state;
    min = state.deadlineMargin();
    max = Durations.max(min, Durations.scale(state.settings.shortestTimeout, MAX_TIMEOUT_SHARE));
    writeTime = state.settings.tickInterval.multipliedBy(WRITE_TICKS);
  }

  /** The margin while timers are punctual. */
  static Duration min(Duration tickInterval) {
    return tickInterval.multipliedBy(MIN_TICKS);
  }

  /** Records a delay of timers, which takes effect if it is the worst recent one. */
  void timersDelayed(Duration delay) {
    if (Durations.isShorter(worstDelay, delay)) {
      update(delay);
    }
  }

  /** Forgets the worst delay once it is too old; called once a second. */
  void forgetOutdatedDelay() {
    if (!state.isWithin(DELAY_RETENTION, worstDelayAt)) {
      update(Duration.ZERO);
    }
  }

  private void update(Duration delay) {
    worstDelay = delay;
    worstDelayAt = state.now();
    Duration required = worstDelay.plus(writeTime);
    state.setDeadlineMargin(Durations.min(max, Durations.max(min, required)));
  }
}
