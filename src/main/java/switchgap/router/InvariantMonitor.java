package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * Checks the {@linkplain RouterInvariant invariants} immediately before an attempt, a load command
 * or an answer is sent, when a connection is closed and before health checks succeed. A check does
 * not prevent the action. A violation is a defect of this program: it is counted as a router event,
 * logged (at most one line per second), and fails tests and soak runs. Called on the event loop
 * thread only.
 */
public final class InvariantMonitor {
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  /**
   * Maximum time between the detection of a client's disconnect and the start of an attempt for it.
   */
  private static final Duration DISCONNECT_SLACK = Duration.ofMillis(100);

  /** Maximum time by which a worker's timeout may exceed the time until the client's deadline. */
  private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);

  private static final String STARTUP_SUBJECT = "start";

  private final RouterSettings settings;
  private final RouterEvents events;
  private final Consumer<String> log;
  private Duration nextLogLine = Duration.ZERO;

  /**
   * Creates a monitor without violations.
   *
   * @param events counts the violations
   * @param log receives a line per violation, at most one per second
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
   * Checks an attempt that is about to be sent.
   *
   * @param timeout the timeout that is sent to the worker
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
    boolean isRetryAllowed =
        settings.idempotency(request.requestClass()) != Idempotency.NON_IDEMPOTENT;
    check(
        isRetryAllowed || !earlierAttemptMayHaveExecuted(attempt),
        RouterInvariant.RETRY_OF_NON_IDEMPOTENT,
        id,
        now);
    check(
        isWithinDeduplicationWindow(attempt, now),
        RouterInvariant.RETRY_AFTER_DEDUPLICATION_WINDOW,
        id,
        now);
  }

  private boolean isWithinDeduplicationWindow(Attempt attempt, Duration now) {
    int requestClass = attempt.request().requestClass();
    if (settings.idempotency(requestClass) != Idempotency.IDEMPOTENT_WITH_KEY) {
      return true;
    }
    Duration earliest = now.minus(settings.deduplicationWindow(requestClass));
    return attempt.request().attempts().stream()
        .filter(other -> other != attempt && other.mayHaveExecuted())
        .allMatch(other -> other.sentAt().compareTo(earliest) >= 0);
  }

  private static boolean isDisconnected(PendingRequest request, Duration now) {
    Duration disconnectedAt = request.listener().disconnectedAt();
    return disconnectedAt != null && now.minus(disconnectedAt).compareTo(DISCONNECT_SLACK) > 0;
  }

  private static boolean earlierAttemptMayHaveExecuted(Attempt attempt) {
    return attempt.request().attempts().stream()
        .anyMatch(other -> other != attempt && other.mayHaveExecuted() && other.hasEnded());
  }

  /** Checks a load command that is about to be sent. */
  public void beforeLoad(WorkerEntry worker, Duration now) {
    check(worker.isAccepting(now), RouterInvariant.LOAD_TO_DRAINING_WORKER, worker.name(), now);
  }

  /** Checks an answer that is about to be sent, and records it. */
  public void beforeAnswer(PendingRequest request, Duration now) {
    check(!request.isAnswerSent(), RouterInvariant.SECOND_ANSWER, request.id(), now);
    request.recordAnswerSent();
  }

  /**
   * Checks that a client's connection was not closed with unanswered requests.
   *
   * @param subjectId id of the connection, with which a violation is reported
   * @param isClientFault whether the client caused the close; requests may be unanswered in this
   *     case
   * @param unanswered number of requests that were read from the connection and not answered
   */
  public void afterClose(String subjectId, boolean isClientFault, int unanswered, Duration now) {
    check(isClientFault || unanswered == 0, RouterInvariant.CLOSED_UNANSWERED, subjectId, now);
  }

  /** Checks that the endpoint list is known before health checks succeed. */
  public void beforeHealthy(boolean hasEndpointList, Duration now) {
    check(hasEndpointList, RouterInvariant.HEALTHY_WITHOUT_WORKERS, STARTUP_SUBJECT, now);
  }

  private void check(
      boolean isSatisfied, RouterInvariant invariant, String subjectId, Duration now) {
    if (isSatisfied) {
      return;
    }
    events.record(new RouterEvent.InvariantViolated(invariant, subjectId, now));
    if (now.compareTo(nextLogLine) >= 0) {
      nextLogLine = now.plus(LOG_INTERVAL);
      log.accept(RouterEvent.Kind.INVARIANT_VIOLATED + " " + invariant + " " + subjectId);
    }
  }
}
