package switchgap.testbed.soak;

import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks that a request receives one response, with the body that a worker produced for it. */
final class ResponseIntegrityCheck implements RequestCheck {
  private final ViolationRecorder violations;

  ResponseIntegrityCheck(ViolationRecorder violations) {
    this.violations = violations;
  }

  @Override
  public void check(ObservedRequest request) {
    String subject = "request " + request.id() + " at router " + request.router();
    if (request.responseCount() > 1) {
      recordViolation(subject + " received " + request.responseCount() + " responses");
    }
    if (!request.responseMatches()) {
      recordViolation(subject + " received a response body that does not belong to it");
    }
  }

  private void recordViolation(String description) {
    violations.record(Invariant.RESPONSE_MATCHES_REQUEST, description);
  }
}
