package switchgap.testbed.experiment;

/** Mean and standard deviation over seeds; a single value has no deviation. */
record Spread(double mean, double deviation) {
  static Spread of(double[] values) {
    double mean = 0;
    for (double value : values) {
      mean += value / values.length;
    }
    double squares = 0;
    for (double value : values) {
      squares += (value - mean) * (value - mean);
    }
    return new Spread(mean, values.length < 2 ? 0 : Math.sqrt(squares / (values.length - 1)));
  }
}
