package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.admission.AdmissionController;
import switchgap.admission.AdmissionDecision;
import switchgap.admission.RequestOutcome;
import switchgap.admission.ServiceLevel;
import switchgap.admission.ServiceLevelChange;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.RouterSettings;

/**
 * Applies admission control to offered requests: the core accepts what the controller admits. What
 * it rejects was never executed, so a retry is harmless. Event loop only, within the core's ticks.
 */
public final class AdmissionGate {
  /**
   * A rejection within this multiple of the latency objective counts as no capacity; a later one
   * may have other causes.
   */
  private static final double SATURATED_OBJECTIVES = 1.2;

  private final RouterCore core;
  private final RouterSettings settings;
  private final AdmissionController admission; // null: every request is admitted
  private final Consumer<ServiceLevelChange> changeListener;

  /**
   * Creates the gate; with a controller it observes the core.
   *
   * @param admission null to admit every request
   * @param changeListener notified of each change of service level
   */
  public AdmissionGate(
      RouterCore core,
      RouterSettings settings,
      AdmissionController admission,
      Consumer<ServiceLevelChange> changeListener) {
    this.core = core;
    this.settings = settings;
    this.admission = admission;
    this.changeListener = changeListener;
    if (admission != null) {
      core.observe(new Observer());
    }
  }

  /** Reports to the controller how admitted requests end. */
  private final class Observer implements RequestObserver {
    @Override
    public void requestEnded(PendingRequest request, Response response) {
      admission.requestEnded(core.now(), request.requestClass(), outcome(request, response));
      reportChanges();
    }

    @Override
    public void workerReported(LoadReport report) {
      admission.workerReported(report.cpuUtilization());
    }
  }

  /** The core that accepts admitted requests. */
  public RouterCore core() {
    return core;
  }

  /** The controller, or null. */
  public AdmissionController admission() {
    return admission;
  }

  /**
   * Offers a request. Returns true where it gets its final response, which may be a rejection now;
   * false where it was not accepted, see {@link RouterCore#accept}.
   */
  public boolean offer(PendingRequest request) {
    if (admission == null) {
      return core.accept(request);
    }
    AdmissionDecision decision =
        admission.decide(
            core.now(), request.tenant(), request.requestClass(), request.function().hashCode());
    reportChanges();
    if (decision.admitted()) {
      return core.accept(request);
    }
    reject(request, decision);
    return true;
  }

  private void reject(PendingRequest request, AdmissionDecision decision) {
    Response response = Response.rejected(decision.retryAfter());
    if (request.deadline().compareTo(core.now()) <= 0) {
      request.end(PendingRequest.State.DEADLINE_EXCEEDED);
      request.listener().deadlineMissed(request, response);
    } else {
      request.shed(decision.level());
      request.listener().responded(request, response);
    }
  }

  private RequestOutcome outcome(PendingRequest request, Response response) {
    if (response == null) {
      return RequestOutcome.OTHER;
    }
    Duration duration = core.now().minus(request.acceptedAt());
    Duration objective = settings.latencyObjective(request.requestClass());
    return switch (response.kind()) {
      case SUCCEEDED ->
          duration.compareTo(objective) <= 0 ? RequestOutcome.IN_TIME : RequestOutcome.LATE;
      case REJECTED -> {
        boolean neverExecuted = request.attempts().stream().noneMatch(Attempt::mayHaveExecuted);
        boolean early = duration.toNanos() <= objective.toNanos() * SATURATED_OBJECTIVES;
        yield neverExecuted && early ? RequestOutcome.SATURATED : RequestOutcome.OTHER;
      }
      case FAILED -> RequestOutcome.OTHER;
    };
  }

  /** Pins a service level for all tenants; needs a controller. */
  public void pin(ServiceLevel level, Duration duration) {
    admission.pin(core.now(), level, core.now().plus(duration));
    reportChanges();
  }

  /** Advances the controller to the current time; needed only while no request is offered. */
  public void tick() {
    if (admission != null) {
      admission.tick(core.now());
      reportChanges();
    }
  }

  private void reportChanges() {
    admission.drainChanges().forEach(changeListener);
  }
}
