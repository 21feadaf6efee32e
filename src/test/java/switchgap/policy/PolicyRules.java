package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/** Asserts the five rules for each decision at the time when it is taken. */
final class PolicyRules {
  private static final Duration DEADLINE_MARGIN = millis(10); // two ticks

  /** Far above the budget, which SlowStartFleetTest holds: shows only that a limit acts at all. */
  private static final int MAX_SLOW_START_ATTEMPTS = 25;

  private final TestSettings settings;
  private final Map<Integer, ArrayDeque<Duration>> slowStartAttempts = new HashMap<>();
  private final ArrayDeque<Duration> loads = new ArrayDeque<>();
  private final ArrayDeque<Duration> arrivals = new ArrayDeque<>();

  PolicyRules(TestSettings settings) {
    this.settings = settings;
  }

  /** Rule 1: one response before the deadline, and nothing after it. */
  void checkAttempt(TrackedRequest request, Duration now, Duration timeout) {
    assertThat(request.isClosed()).as("rule 1: sent after the response").isFalse();
    assertThat(now.plus(timeout))
        .as("rule 1: two ticks before the deadline")
        .isLessThanOrEqualTo(request.deadline().minus(DEADLINE_MARGIN));
    assertThat(request.inFlight()).as("one attempt at a time").isZero();
  }

  /** Rule 2: nothing is executed twice but where that does no harm. */
  void checkRetry(TrackedRequest request, Duration now, long firstWorker, long worker) {
    assertThat(settings.idempotency)
        .as("rule 2: non-idempotent")
        .isNotEqualTo(Idempotency.NON_IDEMPOTENT);
    if (settings.idempotency != Idempotency.IDEMPOTENT_WITH_KEY) {
      return;
    }
    if (settings.deduplicationScope != DeduplicationScope.ALL) {
      assertThat(zone(worker)).as("rule 2: zone").isEqualTo(zone(firstWorker));
    }
    if (settings.deduplicationScope == DeduplicationScope.CELL) {
      assertThat(cell(worker)).as("rule 2: cell").isEqualTo(cell(firstWorker));
    }
    assertThat(now.minus(request.firstSentAt()))
        .as("rule 2: deduplication window")
        .isLessThan(settings.deduplicationWindow(0).minus(DEADLINE_MARGIN));
  }

  static int zone(long worker) {
    return (int) (worker % 2);
  }

  static int cell(long worker) {
    return (int) (worker % 3);
  }

  void checkResponse(TrackedRequest request, Duration now) {
    assertThat(now).as("rule 1: before the deadline").isLessThan(request.deadline());
  }

  void checkRejection(TrackedRequest request, Duration now) {
    assertThat(request.isClosed()).as("rule 1: responded twice").isFalse();
    boolean repeatable =
        settings.idempotency == Idempotency.IDEMPOTENT
            || (settings.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                && settings.deduplicationScope == DeduplicationScope.ALL);
    assertThat(request.mayHaveExecuted() && !repeatable).as("rule 2: rejected").isFalse();
    checkResponse(request, now);
  }

  void checkFailure(TrackedRequest request, Duration now) {
    assertThat(request.isClosed()).as("rule 1: responded twice").isFalse();
    assertThat(request.mayHaveExecuted()).as("failed without an execution").isTrue();
    checkResponse(request, now);
  }

  /** Rule 4: attempts in an overload window at a worker whose process started at a time or null. */
  void checkSlowStart(int worker, Duration startedAt, Duration now) {
    if (startedAt == null || now.minus(startedAt).compareTo(settings.warmUpDuration()) >= 0) {
      return;
    }
    ArrayDeque<Duration> attempts =
        slowStartAttempts.computeIfAbsent(worker, index -> new ArrayDeque<>());
    attempts.add(now);
    dropOlderThan(attempts, settings.slowStartOverloadWindow(), now);
    assertThat(attempts.size()).as("rule 4").isLessThanOrEqualTo(MAX_SLOW_START_ATTEMPTS);
  }

  void requestArrived(Duration now) {
    arrivals.add(now);
  }

  /** Rule 5: load commands within the quota. */
  void checkLoadCommand(Duration now) {
    loads.add(now);
    dropOlderThan(loads, settings.loadQuotaWindow, now);
    dropOlderThan(arrivals, settings.loadQuotaWindow, now);
    assertThat((double) loads.size())
        .as("rule 5")
        .isLessThanOrEqualTo(
            settings.loadQuotaBase + settings.loadQuotaPerRequest * arrivals.size());
  }

  private static void dropOlderThan(ArrayDeque<Duration> times, Duration window, Duration now) {
    while (!times.isEmpty() && now.minus(times.peek()).compareTo(window) > 0) {
      times.poll();
    }
  }

  void workerReleased(int worker) {
    slowStartAttempts.remove(worker);
  }
}
