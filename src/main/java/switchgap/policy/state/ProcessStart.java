package switchgap.policy.state;

import java.time.Duration;

/**
 * The time when a worker's process started: as reported by the endpoint list, or as presumed while
 * the list cannot report it.
 */
public final class ProcessStart {
  private Duration listed;
  private Duration presumed;

  /** Creates an instance with the listed start, null if none is listed. */
  ProcessStart(Duration listed) {
    this.listed = listed;
  }

  /** The presumed start if there is one, else the listed start; null if there is neither. */
  Duration effective() {
    return presumed == null ? listed : presumed;
  }

  /** The presumed start; null if none is presumed. */
  public Duration presumed() {
    return presumed;
  }

  /** Sets the start that the endpoint list reports, null if it reports none. */
  void listed(Duration start) {
    listed = start;
    presumed = null;
  }

  /** Presumes a restart that no endpoint list has reported. */
  void presume(Duration start) {
    presumed = start;
  }

  /** Withdraws the presumed start, because the endpoint list would have reported it by now. */
  public void withdrawPresumed() {
    presumed = null;
  }

  /**
   * Whether a listed start belongs to a new process. It does not if it equals the current start, or
   * if it is not after the presumed start, since that process was running by then.
   */
  boolean isNewProcess(Duration start) {
    boolean isCoveredByPresumed = presumed != null && start.compareTo(presumed) <= 0;
    return !start.equals(effective()) && !isCoveredByPresumed;
  }
}
