package switchgap.testbed.emulator;

/**
 * Counts what became of one request class's requests and their attempts. Written on the scheduler's
 * thread.
 */
public final class RequestTally {
  private long requests;
  private long attempts;
  private long succeeded;
  private long late;
  private long rejected;
  private long failed;
  private long timedOut;
  private long unreachable;
  private long refused;
  private ServiceWeights weights = ServiceWeights.NONE;

  void requestArrived(double weight) {
    requests++;
    weights = weights.plusRequested(weight);
  }

  void attemptSent() {
    attempts++;
  }

  void requestSucceeded(boolean pastObjective, double earned) {
    succeeded++;
    late += pastObjective ? 1 : 0;
    weights = weights.plusEarned(earned);
  }

  void attemptFailed(ClientOutcome outcome) {
    switch (outcome) {
      case REJECTED -> rejected++;
      case FAILED -> failed++;
      case TIMED_OUT -> timedOut++;
      case REFUSED -> refused++;
      default -> unreachable++;
    }
  }

  /** Requests that arrived. */
  public long requests() {
    return requests;
  }

  /** Attempts sent. */
  public long attempts() {
    return attempts;
  }

  /** Requests that succeeded. */
  public long succeeded() {
    return succeeded;
  }

  /** Requests that succeeded past their latency objective. */
  public long late() {
    return late;
  }

  /** Attempts rejected by a router, to be retried later. */
  public long rejected() {
    return rejected;
  }

  /** Attempts that a router ended as failed. */
  public long failed() {
    return failed;
  }

  /** Attempts without a response before their deadline. */
  public long timedOut() {
    return timedOut;
  }

  /** Attempts that reached no router, or ended in any other way. */
  public long unreachable() {
    return unreachable;
  }

  /** Attempts that a router refused as invalid or over its bounds. */
  public long refused() {
    return refused;
  }

  /** Weight requested and earned, in units of priority weight. */
  public ServiceWeights weights() {
    return weights;
  }

  /** Share of the requests that met their latency objective; 0 where none arrived. */
  public double objectiveMetShare() {
    return (succeeded - late) / (double) Math.max(1, requests);
  }
}
