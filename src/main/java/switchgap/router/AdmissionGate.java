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
 * Applies admission control to offered requests: requests that the controller admits are passed to
 * the core. Requests that it rejects were never executed and are safe to retry. Called on the event
 * loop thread only, during the core's ticks.
 */
public final class AdmissionGate {
  /**
   * A request rejected within this multiple of its latency objective is classified as saturated; a
   * later rejection may have causes other than missing capacity.
   */
  private static final double SATURATION_OBJECTIVE_FACTOR = 1.2;

  private final RouterCore core;
  private final RouterSettings settings;

  /** Null if every request is admitted. */
  private final AdmissionController admission;

  private final Consumer<ServiceLevelChange> changeListener;

  /**
   * Creates the gate and, if there is a controller, registers as the core's observer.
   *
   * @param admission the controller, or null to admit every request
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

  /** Reports the outcomes of admitted requests and the load of workers to the controller. */
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

  /** The controller, or null if every request is admitted. */
  public AdmissionController controller() {
    return admission;
  }

  /**
   * Offers a request. Returns true if its listener receives the final response, which may be an
   * immediate rejection; false if the core did not accept it, see {@link RouterCore#accept}.
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
        boolean wasNeverExecuted = request.attempts().stream().noneMatch(Attempt::mayHaveExecuted);
        boolean isWithinFactor =
            duration.toNanos() <= objective.toNanos() * SATURATION_OBJECTIVE_FACTOR;
        yield wasNeverExecuted && isWithinFactor ? RequestOutcome.SATURATED : RequestOutcome.OTHER;
      }
      case FAILED -> RequestOutcome.OTHER;
    };
  }

  /** Pins a service level for all tenants. Must not be called without a controller. */
  public void pin(ServiceLevel level, Duration duration) {
    admission.pin(core.now(), level, core.now().plus(duration));
    reportChanges();
  }

  /** Advances the controller to the current time. Only needed while no requests are offered. */
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
