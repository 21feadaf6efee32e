package switchgap.policy.state;

import java.time.Duration;

/**
 * Counts load commands and requests in the window of the load quota. The window for commands is
 * longer by a margin and that for requests is shorter by it, since the platform that checks the
 * quota may see the events at slightly different times. Without a quota nothing is counted.
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

  /** Counts a load command that is sent now. */
  public void commandStarted(Duration now) {
    if (enabled) {
      commands.add(now);
    }
  }

  /** Number of load commands in the window. */
  public int commands(Duration now) {
    return commands.countWithin(now, window.plus(margin));
  }

  /** Number of requests in the window. */
  public int requests(Duration now) {
    return requests.countWithin(now, window.minus(margin));
  }

  void requestArrived(Duration now) {
    if (enabled) {
      requests.add(now);
    }
  }

  /** Drops requests that have left the window, to bound memory even if the counts are not read. */
  void prune(Duration now) {
    requests.countWithin(now, window);
  }
}
