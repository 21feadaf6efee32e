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
 * Where requests are offered: asks the admission controller, and hands on to the core what it
 * admits. What it rejects was never executed, so the rejection keeps rules 1 and 2. Runs within the
 * core's ticks.
 */
public final class AdmissionGate {
  /**
   * A rejection within so many latency objectives found no capacity; a later one may have other
   * causes.
   */
  private static final double SATURATED_OBJECTIVES = 1.2;

  private final RouterCore core;
  private final RouterSettings settings;
  private final AdmissionController admission; // null: everything is admitted
  private final Consumer<ServiceLevelChange> changeListener;

  /** Without a controller (null) everything is admitted. Each change of service level is told. */
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

  /** Tells the controller what became of what it admitted. */
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

  /** The core that admitted requests go to. */
  public RouterCore core() {
    return core;
  }

  /** The controller, or null. */
  public AdmissionController admission() {
    return admission;
  }

  /**
   * Offers a request. False when it was not accepted and gets no response here: see {@link
   * RouterCore#accept}.
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
    reject(request, decision); // deferred ones too: to give up is to answer now
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
    Duration took = core.now().minus(request.acceptedAt());
    Duration objective = settings.latencyObjective(request.requestClass());
    return switch (response.kind()) {
      case SUCCEEDED ->
          took.compareTo(objective) <= 0 ? RequestOutcome.IN_TIME : RequestOutcome.LATE;
      case REJECTED -> {
        boolean neverExecuted = request.attempts().stream().noneMatch(Attempt::mayHaveExecuted);
        boolean early = took.toNanos() <= objective.toNanos() * SATURATED_OBJECTIVES;
        yield neverExecuted && early ? RequestOutcome.SATURATED : RequestOutcome.OTHER;
      }
      case FAILED -> RequestOutcome.OTHER;
    };
  }

  /** Holds a service level for all tenants for a time. */
  public void pin(ServiceLevel level, Duration duration) {
    admission.pin(core.now(), level, core.now().plus(duration));
    reportChanges();
  }

  /** Lets time pass for the controller where nothing is offered. */
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
