package switchgap.policy;

import java.util.ArrayDeque;

/** Compares the attempts at a worker that is warming up with the overload budget of each window. */
final class SlowStartBudget {
  private static final int WINDOW_MILLIS = 1000;

  private final TestSettings settings = new TestSettings();
  private final ArrayDeque<Integer> attemptsInWindow = new ArrayDeque<>();
  private final double fullRate;
  private int attempts;
  private double maxShare;

  /**
   * Creates the budget of a worker.
   *
   * @param fullRate rate of the worker in requests/s when it is warm
   */
  SlowStartBudget(double fullRate) {
    this.fullRate = fullRate;
  }

  /** Records an attempt that was sent when the worker's process had this age. */
  void attemptSent(int ageMillis) {
    attempts++;
    attemptsInWindow.addLast(ageMillis);
    while (attemptsInWindow.peekFirst() <= ageMillis - WINDOW_MILLIS) {
      attemptsInWindow.removeFirst();
    }
    double meanAttempts = meanAllowedAttempts(ageMillis);
    double slack =
        meanAttempts < 30 ? 3 * Math.sqrt(meanAttempts) + 3 : 2 * Math.sqrt(meanAttempts) + 2;
    maxShare = Math.max(maxShare, attemptsInWindow.size() / (meanAttempts + slack));
  }

  /** Mean number of attempts that the settings allow in a window that ends at this age. */
  private double meanAllowedAttempts(int ageMillis) {
    double age = ageMillis / (double) settings.warmUpDuration().toMillis();
    double share =
        settings.slowStartCapacityShare()
            + (1 - settings.slowStartCapacityShare()) * Math.min(1, age);
    return settings.slowStartOverloadMultiple() * share * WINDOW_MILLIS / 1000 * fullRate;
  }

  int attempts() {
    return attempts;
  }

  /** The highest share of its budget that was used in any window. */
  double maxShare() {
    return maxShare;
  }
}
