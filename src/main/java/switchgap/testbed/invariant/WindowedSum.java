package switchgap.testbed.invariant;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum and number of the samples within a time window that ends at the latest sample. Samples are
 * added in order of time; the unit of time is the caller's. Not thread-safe.
 */
public final class WindowedSum {
  private record Sample(long time, double amount) {}

  private final long maxAge;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private double sum;

  /** A window of the samples that are at most {@code maxAge} older than the latest one. */
  public WindowedSum(long maxAge) {
    this.maxAge = maxAge;
  }

  /** Adds a sample and drops those that are now too old. */
  public void add(long time, double amount) {
    samples.addLast(new Sample(time, amount));
    sum += amount;
    while (time - samples.getFirst().time() > maxAge) {
      sum -= samples.removeFirst().amount();
    }
  }

  /** Sum of the amounts within the window. */
  public double sum() {
    return sum;
  }

  /** Number of samples within the window. */
  public int count() {
    return samples.size();
  }
}
