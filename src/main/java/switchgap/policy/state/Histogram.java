package switchgap.policy.state;

import java.util.Arrays;

/**
 * A histogram with coarse bins. The caller specifies the bin edges and halves the counts
 * periodically, so that old values lose weight.
 */
public final class Histogram {
  private final double[] edges;
  private final double[] counts;

  /**
   * Creates an empty histogram. The first bin is below the first edge, the last one starts at the
   * last edge, and each other bin lies between two adjacent edges.
   */
  public Histogram(double[] edges) {
    this.edges = edges;
    this.counts = new double[edges.length + 1];
  }

  /** Adds a value. */
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

  /** Halves all counts if their total exceeds a maximum. */
  public void halveAbove(double maxTotal) {
    if (total() > maxTotal) {
      halve();
    }
  }

  /** The mean value, with a prior that has the weight of {@code weight} values. */
  public double meanWithPrior(double prior, double weight) {
    return (sum() + weight * prior) / (total() + weight);
  }

  /** Sets all counts to zero. */
  public void clear() {
    Arrays.fill(counts, 0);
  }

  /** The sum of all counts. */
  public double total() {
    double total = 0;
    for (double count : counts) {
      total += count;
    }
    return total;
  }

  /** The sum of the counts of a bin and of all bins above it. */
  public double countFrom(int bin) {
    double sum = 0;
    for (int i = bin; i < counts.length; i++) {
      sum += counts[i];
    }
    return sum;
  }

  /**
   * The sum of all values, each estimated as the middle of its bin, or the edge of the last bin.
   */
  public double sum() {
    double sum = counts[0] * edges[0] / 2 + counts[edges.length] * edges[edges.length - 1];
    for (int i = 1; i < edges.length; i++) {
      sum += counts[i] * (edges[i - 1] + edges[i]) / 2;
    }
    return sum;
  }

  /**
   * The quantile for a share from 0 to 1, interpolated linearly within its bin; NaN if there are no
   * values.
   */
  public double quantile(double share) {
    double remaining = total() * share;
    if (remaining <= 0) {
      return Double.NaN;
    }
    for (int i = 0; i < edges.length; i++) {
      if (remaining <= counts[i]) {
        double low = i == 0 ? 0 : edges[i - 1];
        return low + (edges[i] - low) * remaining / counts[i];
      }
      remaining -= counts[i];
    }
    return edges[edges.length - 1];
  }
}
