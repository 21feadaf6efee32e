package switchgap.protocol.invoke;

/**
 * A request that can't be accepted; the problem says why. Has no stack trace: bad input is no fault
 * of ours.
 */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient ProblemDetails problem;

  InvalidRequestException(ProblemDetails problem) {
    super(problem.detail(), null, false, false);
    this.problem = problem;
  }

  InvalidRequestException(ProblemType type, String detail) {
    this(new ProblemDetails(type, detail));
  }

  ProblemDetails problem() {
    return problem;
  }
}
