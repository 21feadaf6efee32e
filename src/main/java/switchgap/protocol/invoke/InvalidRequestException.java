package switchgap.protocol.invoke;

/**
 * Thrown for a request that can't be accepted, with the problem to respond with. It has no stack
 * trace, since invalid input does not point to a fault in the router.
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
