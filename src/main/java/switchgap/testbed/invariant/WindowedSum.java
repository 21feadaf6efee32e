package switchgap.testbed.invariant;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum and number of the samples within a time window that ends at the latest sample. Samples must
 * be added in order of time; all times have the same unit, which the caller chooses. Not
 * thread-safe.
 */
public final class WindowedSum {
  private record Sample(long time, double amount) {}

  private final long maxAge;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private double sum;

  /**
   * Creates an empty window.
   *
   * @param maxAge greatest age of a sample in the window, relative to the latest sample
   */
  public WindowedSum(long maxAge) {
    this.maxAge = maxAge;
  }

  /** Adds a sample and drops all samples that are now older than the maximum age. */
  public void add(long time, double amount) {
    samples.addLast(new Sample(time, amount));
    sum += amount;
    while (time - samples.getFirst().time() > maxAge) {
      sum -= samples.removeFirst().amount();
    }
  }

  /** Returns the sum of the amounts within the window. */
  public double sum() {
    return sum;
  }

  /** Returns the number of samples within the window. */
  public int count() {
    return samples.size();
  }
}
