package switchgap.policy.state;

import java.time.Duration;

/**
 * Counts load commands and requests over the quota's window. Commands are counted for a margin
 * longer and requests for a margin shorter, since others may count from another moment. Without a
 * quota nothing is kept.
 */
public final class LoadQuotaUsage {
  private final boolean counts;
  private final Duration window;
  private final Duration margin;
  private final SlidingWindow commands = new SlidingWindow();
  private final SlidingWindow requests = new SlidingWindow();

  LoadQuotaUsage(SettingsSnapshot settings, Duration margin) {
    this.counts = settings.hasLoadQuota;
    this.window = settings.loadQuotaWindow;
    this.margin = margin;
  }

  /** Counts a load command. */
  public void commandStarted(Duration now) {
    if (counts) {
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
    if (counts) {
      requests.add(now);
    }
  }

  /** Drops what has left the window, also where nobody asks for the counts. */
  void prune(Duration now) {
    requests.countWithin(now, window);
  }
}
