package switchgap.policy.state;

import java.time.Duration;

/**
 * Counts load commands and requests in the window of the load quota. Commands count for a margin
 * longer and requests for a margin shorter, since whoever checks the quota may take another time
 * for now. Without a quota nothing is counted.
 */
public final class LoadQuotaUsage {
  private final boolean enabled;
  private final Duration window;
  private final Duration margin;
  private final SlidingWindow commands = new SlidingWindow();
  private final SlidingWindow requests = new SlidingWindow();

  LoadQuotaUsage(SettingsSnapshot settings, Duration margin) {
    this.enabled = settings.hasLoadQuota;
    this.window = settings.loadQuotaWindow;
    this.margin = margin;
  }

  /** Counts a load command. */
  public void commandStarted(Duration now) {
    if (enabled) {
      commands.add(now);
    }
  }

  /** Load commands in the window. */
  public int commands(Duration now) {
    return commands.countWithin(now, window.plus(margin));
  }

  /** Requests in the window. */
  public int requests(Duration now) {
    return requests.countWithin(now, window.minus(margin));
  }

  void requestArrived(Duration now) {
    if (enabled) {
      requests.add(now);
    }
  }

  /** Drops requests that have left the window, even if the counts are never read. */
  void prune(Duration now) {
    requests.countWithin(now, window);
  }
}
