package switchgap.policy.state;

/** A few coarse bins between edges that the caller gives; halved when the caller says so. */
public final class Histogram {
    private final double[] edges;
    private final double[] counts;

    /** Bins: below the first edge, between each two, and from the last on. */
    public Histogram(double[] edges) {
        this.edges = edges;
        this.counts = new double[edges.length + 1];
    }

    public void add(double value) {
        int bin = 0;
        while (bin < edges.length && value >= edges[bin]) {
            bin++;
        }
        counts[bin]++;
    }

    public void halve() {
        for (int i = 0; i < counts.length; i++) {
            counts[i] /= 2;
        }
    }

    /** Halves all bins once they hold more than so much. */
    public void halveAbove(double most) {
        if (total() > most) {
            halve();
        }
    }

    /** The mean value, with a prior that weighs as much as so many values. */
    public double meanWithPrior(double prior, double weight) {
        return (sum() + weight * prior) / (total() + weight);
    }

    public void clear() {
        java.util.Arrays.fill(counts, 0);
    }

    public double total() {
        double sum = 0;
        for (double c : counts) {
            sum += c;
        }
        return sum;
    }

    /** What lies in this bin and above. */
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

    /** The value under which this share lies, straight between a bin's edges; NaN when empty. */
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
