package switchgap.router;

/** What a worker told of its load; NaN, or -1 for the crowd, where it told nothing. */
public record Loads(double busy, double held, double queued, int crowd) {
    public static final Loads UNTOLD = new Loads(Double.NaN, Double.NaN, Double.NaN, -1);
}
