package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;
import switchgap.router.RouterEvents.Kind;

/**
 * Every send, repeat, answer and close passes through here right before it is done. A check changes
 * nothing: whoever acts has decided already, and a violation is a fault of this program. It is
 * counted and logged, at most one line a second, and makes tests and the soak fail. Belongs to the
 * event loop.
 */
public final class RuleChecker {
  /** What must hold. */
  public enum Rule {
    /** An attempt goes out for a request that has its answer. */
    ATTEMPT_AFTER_ANSWER,
    /** An attempt goes out for a client that was seen to have gone over 0.1 s ago. */
    ATTEMPT_FOR_GONE_CLIENT,
    /** An attempt goes out to a worker that drains or is gone. */
    ATTEMPT_TO_DRAINING_WORKER,
    /** An attempt goes out behind the request's deadline. */
    ATTEMPT_AFTER_DEADLINE,
    /** The time that a worker is given is longer than what the client has left. */
    TIME_PASSED_ON_TOO_LONG,
    /** A request that must not be repeated is, and may have run. */
    REPEAT_OF_NON_IDEMPOTENT,
    /** An attempt goes out twice. */
    ATTEMPT_SENT_TWICE,
    /** A load goes to a worker that drains or is gone. */
    LOAD_TO_DRAINING_WORKER,
    /** A request is answered a second time. */
    SECOND_ANSWER,
    /** A connection is closed with requests that were read and have no answer. */
    CLOSED_UNANSWERED,
    /** Heartbeats are good before the router knows its workers. */
    HEALTHY_WITHOUT_WORKERS
  }

  private static final String FIRST = "first";
  private static final String FURTHER = "further";
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);
  private static final Duration GONE_SLACK = Duration.ofMillis(100);
  private static final Duration TIME_SLACK = Duration.ofMillis(150);

  private final RouterSettings settings;
  private final RouterEvents events;
  private Duration nextLine = Duration.ZERO;

  /** A checker under these settings. */
  public RuleChecker(RouterSettings settings, RouterEvents events) {
    this.settings = settings;
    this.events = events;
  }

  /** The events that violations are counted among. */
  public RouterEvents events() {
    return events;
  }

  /** Violations so far. */
  public long violations() {
    return events.count(Kind.RULE_VIOLATED);
  }

  /**
   * An attempt goes out now.
   *
   * @param passedOn the time that the worker is given
   */
  public void attemptSent(Attempt attempt, Duration passedOn, Duration now) {
    PendingRequest request = attempt.request;
    check(
        request.state() == PendingRequest.State.PENDING,
        Rule.ATTEMPT_AFTER_ANSWER,
        request.id,
        now);
    Duration goneAt = request.listener.disconnectedAt();
    boolean isGone = goneAt != null && now.minus(goneAt).compareTo(GONE_SLACK) > 0;
    check(!isGone, Rule.ATTEMPT_FOR_GONE_CLIENT, request.id, now);
    check(attempt.worker.accepting, Rule.ATTEMPT_TO_DRAINING_WORKER, request.id, now);
    check(now.compareTo(request.deadline) < 0, Rule.ATTEMPT_AFTER_DEADLINE, request.id, now);
    Duration left = request.deadline.minus(now).plus(TIME_SLACK);
    check(passedOn.compareTo(left) <= 0, Rule.TIME_PASSED_ON_TOO_LONG, request.id, now);
    check(!attempt.ended, Rule.ATTEMPT_SENT_TWICE, request.id, now);
    boolean repeats =
        request.attempts().stream()
            .anyMatch(other -> other != attempt && other.mayHaveExecuted && other.ended);
    boolean repeatable = settings.idempotency(request.requestClass) != Idempotency.NON_IDEMPOTENT;
    check(!repeats || repeatable, Rule.REPEAT_OF_NON_IDEMPOTENT, request.id, now);
    events.record(
        Kind.ATTEMPT_SENT,
        attempt.number == 0 ? FIRST : FURTHER,
        request.id,
        events.isTracing()
            ? attempt.worker.name + " attempt " + attempt.number + " for " + passedOn
            : "");
  }

  /** A load of replicas goes out now. */
  public void loadSent(WorkerEntry worker, Duration now) {
    check(worker.accepting, Rule.LOAD_TO_DRAINING_WORKER, worker.name, now);
  }

  /** A request is answered now. */
  public void answered(PendingRequest request, String how, Duration now) {
    check(!request.answered, Rule.SECOND_ANSWER, request.id, now);
    request.answered = true;
    events.record(Kind.REQUEST_ANSWERED, how, request.id, now);
  }

  /**
   * A client's connection is closed by this side.
   *
   * @param reason why
   * @param mayHold whether the reason is the client's own fault, so that requests may be held
   * @param unanswered requests that were read on it and have no answer
   */
  public void closed(String reason, boolean mayHold, int unanswered, Duration now) {
    check(mayHold || unanswered == 0, Rule.CLOSED_UNANSWERED, reason, now);
  }

  /** Heartbeats are good from now on. */
  public void healthy(boolean listKnown, Duration now) {
    check(listKnown, Rule.HEALTHY_WITHOUT_WORKERS, "start", now);
  }

  private void check(boolean holds, Rule rule, String id, Duration now) {
    if (holds) {
      return;
    }
    events.record(Kind.RULE_VIOLATED, rule.name(), id, now);
    if (now.compareTo(nextLine) >= 0) {
      nextLine = now.plus(LOG_INTERVAL);
      events.line(Kind.RULE_VIOLATED + " " + rule + " " + id);
    }
  }
}
