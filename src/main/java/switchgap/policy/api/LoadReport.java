package switchgap.policy.api;

/** What a worker told of its load; NaN, or -1 for the crowd, where it told nothing. */
public record LoadReport(double cpuUtilization, double inFlight, double queueLength, int concurrency) {
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, -1);
}
