package switchgap.policy.state;

import java.time.Duration;

/** The ejections of one worker as an outlier, and the probation that follows each. */
public final class EjectionState {
  private int count;
  private boolean onProbation;
  private Duration until;

  /** Ejections since the last success on probation. */
  public int count() {
    return count;
  }

  /** Whether the worker was ejected and has not succeeded since. */
  public boolean isOnProbation() {
    return onProbation;
  }

  /** End of the last ejection, null if there was none. */
  public Duration until() {
    return until;
  }

  /** A probation ends, and the ejections before it count no more. */
  void attemptSucceeded() {
    count = onProbation ? 0 : count;
    onProbation = false;
  }

  void ejected(Duration end) {
    count++;
    onProbation = true;
    until = end;
  }

  void clear() {
    count = 0;
    onProbation = false;
    until = null;
  }
}
