package switchgap.policy;

import java.util.ArrayDeque;

/** Measures attempts at a worker that warms up against the overload budget of each window. */
final class SlowStartBudget {
  private static final int WINDOW_MILLIS = 1000;

  private final TestSettings settings = new TestSettings();
  private final ArrayDeque<Integer> attemptsInWindow = new ArrayDeque<>();
  private final double fullRate;
  private int attempts;
  private double maxShare;

  /** For a worker that bears this many requests a second when it is warm. */
  SlowStartBudget(double fullRate) {
    this.fullRate = fullRate;
  }

  /** An attempt was sent at a time since the start of the worker's process. */
  void attemptSent(int ageMillis) {
    attempts++;
    attemptsInWindow.addLast(ageMillis);
    while (attemptsInWindow.peekFirst() <= ageMillis - WINDOW_MILLIS) {
      attemptsInWindow.removeFirst();
    }
    double allowed = allowedAttempts(ageMillis);
    double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    maxShare = Math.max(maxShare, attemptsInWindow.size() / (allowed + slack));
  }

  /** Attempts that the settings allow on average in a window that ends at this age. */
  private double allowedAttempts(int ageMillis) {
    double age = ageMillis / (double) settings.warmUpDuration().toMillis();
    double share =
        settings.slowStartCapacityShare()
            + (1 - settings.slowStartCapacityShare()) * Math.min(1, age);
    return settings.slowStartOverloadMultiple() * share * WINDOW_MILLIS / 1000 * fullRate;
  }

  int attempts() {
    return attempts;
  }

  /** The most that was sent in any window, as a share of its budget. */
  double maxShare() {
    return maxShare;
  }
}
