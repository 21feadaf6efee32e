package switchgap.router;

/** What a worker told of its load; NaN, or -1 for the crowd, where it told nothing. */
public record LoadReport(double busy, double held, double queued, int crowd) {
    public static final LoadReport UNTOLD = new LoadReport(Double.NaN, Double.NaN, Double.NaN, -1);
}
