package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * Checks the invariants right before an attempt, load, answer or close. A check does not prevent
 * the action; a violation is a fault of this program. It is counted among the router's events and
 * logged, at most one line a second, and makes tests and the soak fail. Event loop only.
 */
public final class InvariantMonitor {
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  /** An attempt may start this long after its client was seen to have disconnected. */
  private static final Duration DISCONNECT_SLACK = Duration.ofMillis(100);

  /** A worker's timeout may exceed the time until the client's deadline by this much. */
  private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);

  private static final String STARTUP = "start";

  private final RouterSettings settings;
  private final RouterEvents events;
  private final Consumer<String> log;
  private Duration nextLogLine = Duration.ZERO;

  /**
   * Creates a monitor without violations.
   *
   * @param events violations are counted among them
   * @param log receives a line for a violation
   */
  public InvariantMonitor(RouterSettings settings, RouterEvents events, Consumer<String> log) {
    this.settings = settings;
    this.events = events;
    this.log = log;
  }

  /** Number of violations so far. */
  public long violations() {
    return events.count(RouterEvent.Kind.INVARIANT_VIOLATED);
  }

  /**
   * An attempt is about to be sent.
   *
   * @param timeout the time that the worker has for it
   */
  public void beforeAttempt(Attempt attempt, Duration timeout, Duration now) {
    PendingRequest request = attempt.request();
    String id = request.id();
    check(request.isPending(), RouterInvariant.ATTEMPT_AFTER_ANSWER, id, now);
    check(!isDisconnected(request, now), RouterInvariant.ATTEMPT_FOR_DISCONNECTED_CLIENT, id, now);
    check(attempt.worker().isAccepting(now), RouterInvariant.ATTEMPT_TO_DRAINING_WORKER, id, now);
    check(now.compareTo(request.deadline()) < 0, RouterInvariant.ATTEMPT_AFTER_DEADLINE, id, now);
    Duration maxTimeout = request.deadline().minus(now).plus(DEADLINE_SLACK);
    check(timeout.compareTo(maxTimeout) <= 0, RouterInvariant.TIMEOUT_PAST_DEADLINE, id, now);
    check(!attempt.hasEnded(), RouterInvariant.ATTEMPT_SENT_TWICE, id, now);
    boolean mayRetry = settings.idempotency(request.requestClass()) != Idempotency.NON_IDEMPOTENT;
    check(
        mayRetry || !mayHaveExecutedBefore(attempt),
        RouterInvariant.RETRY_OF_NON_IDEMPOTENT,
        id,
        now);
  }

  private static boolean isDisconnected(PendingRequest request, Duration now) {
    Duration disconnectedAt = request.listener().disconnectedAt();
    return disconnectedAt != null && now.minus(disconnectedAt).compareTo(DISCONNECT_SLACK) > 0;
  }

  private static boolean mayHaveExecutedBefore(Attempt attempt) {
    return attempt.request().attempts().stream()
        .anyMatch(other -> other != attempt && other.mayHaveExecuted() && other.hasEnded());
  }

  /** A load command is about to be sent. */
  public void beforeLoad(WorkerEntry worker, Duration now) {
    check(worker.isAccepting(now), RouterInvariant.LOAD_TO_DRAINING_WORKER, worker.name(), now);
  }

  /** A request is about to be answered. */
  public void beforeAnswer(PendingRequest request, Duration now) {
    check(!request.isAnswerSent(), RouterInvariant.SECOND_ANSWER, request.id(), now);
    request.recordAnswerSent();
  }

  /**
   * A client's connection was closed.
   *
   * @param subjectId id that a violation is reported with
   * @param isClientFault whether the client caused it; then requests may be unanswered
   * @param unanswered requests that were read on it and have no answer
   */
  public void afterClose(String subjectId, boolean isClientFault, int unanswered, Duration now) {
    check(isClientFault || unanswered == 0, RouterInvariant.CLOSED_UNANSWERED, subjectId, now);
  }

  /** Health checks are about to succeed. */
  public void beforeHealthy(boolean isEndpointListKnown, Duration now) {
    check(isEndpointListKnown, RouterInvariant.HEALTHY_WITHOUT_WORKERS, STARTUP, now);
  }

  private void check(boolean holds, RouterInvariant invariant, String subjectId, Duration now) {
    if (holds) {
      return;
    }
    events.record(new RouterEvent.InvariantViolated(invariant, subjectId, now));
    if (now.compareTo(nextLogLine) >= 0) {
      nextLogLine = now.plus(LOG_INTERVAL);
      log.accept(RouterEvent.Kind.INVARIANT_VIOLATED + " " + invariant + " " + subjectId);
    }
  }
}
