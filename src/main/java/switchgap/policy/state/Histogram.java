package switchgap.policy.state;

import java.util.Arrays;

/**
 * Counts of values in coarse bins. The caller gives the edges of the bins and halves the counts so
 * that old values fade.
 */
public final class Histogram {
  private final double[] edges;
  private final double[] counts;

  /** The bins are: below the first edge, between each two edges, and from the last edge on. */
  public Histogram(double[] edges) {
    this.edges = edges;
    this.counts = new double[edges.length + 1];
  }

  /** Counts a value. */
  public void add(double value) {
    int bin = 0;
    while (bin < edges.length && value >= edges[bin]) {
      bin++;
    }
    counts[bin]++;
  }

  /** Halves all counts. */
  public void halve() {
    for (int i = 0; i < counts.length; i++) {
      counts[i] /= 2;
    }
  }

  /** Halves all counts if there are more values than this. */
  public void halveAbove(double maxTotal) {
    if (total() > maxTotal) {
      halve();
    }
  }

  /** The mean value, with a prior that counts as {@code weight} values. */
  public double meanWithPrior(double prior, double weight) {
    return (sum() + weight * prior) / (total() + weight);
  }

  /** Sets all counts to zero. */
  public void clear() {
    Arrays.fill(counts, 0);
  }

  /** The number of values counted. */
  public double total() {
    double total = 0;
    for (double count : counts) {
      total += count;
    }
    return total;
  }

  /** The number of values in a bin and in those above it. */
  public double countFrom(int bin) {
    double sum = 0;
    for (int i = bin; i < counts.length; i++) {
      sum += counts[i];
    }
    return sum;
  }

  /** The sum of all values, each taken at the middle of its bin. */
  public double sum() {
    double sum = counts[0] * edges[0] / 2 + counts[edges.length] * edges[edges.length - 1];
    for (int i = 1; i < edges.length; i++) {
      sum += counts[i] * (edges[i - 1] + edges[i]) / 2;
    }
    return sum;
  }

  /**
   * The quantile of a share, 0 to 1, interpolated linearly within its bin; NaN if there are no
   * values.
   */
  public double quantile(double share) {
    double left = total() * share;
    if (left <= 0) {
      return Double.NaN;
    }
    for (int i = 0; i < edges.length; i++) {
      if (left <= counts[i]) {
        double low = i == 0 ? 0 : edges[i - 1];
        return low + (edges[i] - low) * left / counts[i];
      }
      left -= counts[i];
    }
    return edges[edges.length - 1];
  }
}
