package switchgap.policy.state;

import java.time.Duration;

/** The ejections of one worker and the probation that follows each ejection. */
public final class EjectionState {
  private int count;
  private boolean onProbation;
  private Duration until;

  /** Number of ejections since the worker last passed a probation. */
  public int count() {
    return count;
  }

  /** Whether the worker was ejected and no attempt at it has succeeded since. */
  public boolean isOnProbation() {
    return onProbation;
  }

  /** End of the last ejection, null if there was none. */
  public Duration until() {
    return until;
  }

  /** Ends a probation and resets the count of ejections. */
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
