package switchgap.testbed.experiment;

import java.time.Duration;
import switchgap.config.FunctionSettings;
import switchgap.config.YamlRouterSettings;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.testbed.emulator.AttemptEnd;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.emulator.ClientTransport;
import switchgap.testbed.emulator.FunctionModel;

/**
 * One attempt of a client at a router in virtual time. It reaches the router after the network
 * delay, is admitted or not, and ends exactly once: with a response or at the client's timeout.
 */
final class VirtualTimeExchange implements ResponseListener {
  private static final long DELAY_MICROS = VirtualTimeTestBed.NETWORK_DELAY_MICROS;
  private static final long NANOS_PER_MICRO = 1000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Duration STATIC_THRESHOLD_RETRY_AFTER = Duration.ofMillis(500);

  private final VirtualTimeScheduler scheduler;
  private final VirtualTimeRouter router;
  private final YamlRouterSettings settings;
  private final StaticThreshold staticThreshold;
  private final ClientTransport.ClientAttempt attempt;
  private final ClientTransport.AttemptListener listener;
  private PendingRequest request;
  private boolean ended;

  /** {@code staticThreshold} is checked before admission control; null for no threshold. */
  VirtualTimeExchange(
      VirtualTimeScheduler scheduler,
      VirtualTimeRouter router,
      YamlRouterSettings settings,
      StaticThreshold staticThreshold,
      ClientTransport.ClientAttempt attempt,
      ClientTransport.AttemptListener listener) {
    this.scheduler = scheduler;
    this.router = router;
    this.settings = settings;
    this.staticThreshold = staticThreshold;
    this.attempt = attempt;
    this.listener = listener;
  }

  void start() {
    scheduler.after(DELAY_MICROS, () -> router.post(core -> arriveAtRouter()));
    scheduler.after(attempt.deadline() - scheduler.now(), this::timeOut);
  }

  private void arriveAtRouter() {
    request = createPendingRequest();
    int requestClass = attempt.function().requestClass();
    if (staticThreshold != null
        && staticThreshold.rejects(router.gate().core(), settings, requestClass)) {
      responded(request, Response.rejected(STATIC_THRESHOLD_RETRY_AFTER));
    } else if (!router.gate().offer(request)) {
      endAfterNetworkDelay(ClientOutcome.REFUSED, STATUS_UNAVAILABLE, AttemptEnd.NO_RETRY_AFTER);
    }
  }

  private PendingRequest createPendingRequest() {
    FunctionModel model = attempt.function();
    FunctionSettings function = settings.function(model.name());
    Duration timeLeft = Duration.ofNanos((attempt.deadline() - scheduler.now()) * NANOS_PER_MICRO);
    return PendingRequest.builder(
            attempt.attemptId(), model.name(), router.now().plus(timeLeft), this)
        .requestClass(model.requestClass())
        .tenant(settings.tenantIndex(attempt.tenant()))
        .durationHint(Duration.ofNanos((long) (model.work() * NANOS_PER_MICRO)))
        .idempotencyKey(attempt.idempotencyKey())
        .replica(function.memoryMb(), function.slots())
        .build();
  }

  private void timeOut() {
    if (ended) {
      return;
    }
    end(AttemptEnd.withoutResponse(ClientOutcome.TIMED_OUT));
    if (request != null) {
      router.post(core -> core.requestCancelled(request));
    }
  }

  @Override
  public void responded(PendingRequest answeredRequest, Response response) {
    long retryAfterMillis =
        response.retryAfter() == null
            ? AttemptEnd.NO_RETRY_AFTER
            : response.retryAfter().toMillis();
    ClientOutcome outcome =
        switch (response.kind()) {
          case SUCCEEDED -> ClientOutcome.SUCCEEDED;
          case REJECTED -> ClientOutcome.REJECTED;
          case FAILED -> ClientOutcome.FAILED;
        };
    endAfterNetworkDelay(
        outcome,
        outcome == ClientOutcome.SUCCEEDED ? STATUS_OK : STATUS_UNAVAILABLE,
        retryAfterMillis);
  }

  @Override
  public void deadlineMissed(PendingRequest overdueRequest, Response lateResponse) {}

  /** Ends the attempt when the response has reached the client. */
  private void endAfterNetworkDelay(ClientOutcome outcome, int status, long retryAfterMillis) {
    AttemptEnd response = new AttemptEnd(outcome, outcome.word(), status, retryAfterMillis);
    scheduler.after(DELAY_MICROS, () -> end(response));
  }

  private void end(AttemptEnd attemptEnd) {
    if (!ended) {
      ended = true;
      listener.attemptEnded(attemptEnd);
    }
  }
}
