package switchgap.testbed.emulator;

/**
 * Counts the results of one request class's requests and attempts. Unsuccessful attempts are
 * counted even if a later attempt of the request succeeds. Updated on the scheduler's thread.
 */
public final class RequestTally {
  private long requests;
  private long attempts;
  private long succeeded;
  private long succeededLate;
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
    succeededLate += pastObjective ? 1 : 0;
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

  /** Number of requests that arrived. */
  public long requests() {
    return requests;
  }

  /** Number of attempts sent. */
  public long attempts() {
    return attempts;
  }

  /** Number of requests that succeeded. */
  public long succeeded() {
    return succeeded;
  }

  /** Number of requests that succeeded, but after their latency objective. */
  public long succeededLate() {
    return succeededLate;
  }

  /** Number of attempts that a router rejected. */
  public long rejected() {
    return rejected;
  }

  /** Number of attempts that a router reported as failed. */
  public long failed() {
    return failed;
  }

  /** Number of attempts without a response before their deadline. */
  public long timedOut() {
    return timedOut;
  }

  /**
   * Number of attempts that could not be sent, lost their connection, or received an error status
   * from a worker.
   */
  public long unreachable() {
    return unreachable;
  }

  /** Number of attempts that a router refused as invalid or out of bounds. */
  public long refused() {
    return refused;
  }

  /** Priority weight requested and earned. */
  public ServiceWeights weights() {
    return weights;
  }

  /** Share of the requests that met their latency objective; 0 if no request arrived. */
  public double objectiveMetShare() {
    return (succeeded - succeededLate) / (double) Math.max(1, requests);
  }
}
