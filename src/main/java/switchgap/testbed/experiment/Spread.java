package switchgap.testbed.experiment;

/** Mean and standard deviation of a figure over the seeds; the deviation of a single value is 0. */
record Spread(double mean, double standardDeviation) {
  static Spread of(double[] values) {
    double mean = 0;
    for (double value : values) {
      mean += value / values.length;
    }
    double squaredDeviations = 0;
    for (double value : values) {
      squaredDeviations += (value - mean) * (value - mean);
    }
    return new Spread(
        mean, values.length < 2 ? 0 : Math.sqrt(squaredDeviations / (values.length - 1)));
  }
}
