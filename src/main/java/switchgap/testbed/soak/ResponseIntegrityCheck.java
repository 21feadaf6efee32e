package switchgap.testbed.soak;

import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** A response is one that a worker produced for this request, and is delivered once. */
final class ResponseIntegrityCheck implements RequestCheck {
  private final ViolationRecorder violations;

  ResponseIntegrityCheck(ViolationRecorder violations) {
    this.violations = violations;
  }

  @Override
  public void check(ObservedRequest request) {
    String name = "request " + request.id() + " at router " + request.router();
    if (request.responses() > 1) {
      violated(name + " had " + request.responses() + " answers");
    }
    if (!request.responseMatches()) {
      violated(name + " was served with another's body");
    }
  }

  private void violated(String description) {
    violations.record(Invariant.RESPONSE_MATCHES_REQUEST, description);
  }
}
