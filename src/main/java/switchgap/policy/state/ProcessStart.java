package switchgap.policy.state;

import java.time.Duration;

/**
 * When a worker's process started: as the endpoint list tells it, or as presumed while the list
 * cannot tell. It records and decides nothing.
 */
public final class ProcessStart {
  private Duration listed;
  private Duration presumed;

  /** A start as listed, null if long past. */
  ProcessStart(Duration listed) {
    this.listed = listed;
  }

  /** The start that counts, null if long past: the presumed one until the list tells another. */
  Duration at() {
    return presumed == null ? listed : presumed;
  }

  /** The presumed start; null where none counts. */
  public Duration presumed() {
    return presumed;
  }

  /** The endpoint list tells the start, null if long past. */
  void listed(Duration start) {
    listed = start;
    presumed = null;
  }

  /** The process seems to have started anew at a time that no endpoint list has told. */
  void presume(Duration start) {
    presumed = start;
  }

  /** The endpoint list would have told the presumed start by now: the process is the old one. */
  public void notListed() {
    presumed = null;
  }

  /**
   * Whether a listed start is that of a process unknown so far: neither the known start nor, as the
   * process of a presumed start had started by then, an earlier one.
   */
  boolean isNews(Duration start) {
    boolean isPresumed = presumed != null && start.compareTo(presumed) <= 0;
    return !start.equals(at()) && !isPresumed;
  }
}
