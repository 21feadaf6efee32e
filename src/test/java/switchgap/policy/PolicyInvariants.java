package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/**
 * Asserts the invariants of the policy for each decision when it is made: one response before the
 * deadline, no harmful repeat, slow start and the load quota. {@link RandomEndpoints#assertReady}
 * asserts that only ready workers get attempts and load commands.
 */
final class PolicyInvariants {
  /** Two ticks of the router. */
  private static final Duration DEADLINE_MARGIN = millis(10);

  /**
   * Far above the overload budget, which {@link SlowStartFleetTest} checks. This limit only shows
   * that slow start limits attempts at all.
   */
  private static final int MAX_SLOW_START_ATTEMPTS = 25;

  private final TestSettings settings;
  private final Map<Integer, ArrayDeque<Duration>> slowStartAttempts = new HashMap<>();
  private final ArrayDeque<Duration> loads = new ArrayDeque<>();
  private final ArrayDeque<Duration> arrivals = new ArrayDeque<>();

  PolicyInvariants(TestSettings settings) {
    this.settings = settings;
  }

  /** Checks that the attempt ends before the deadline and is not sent after the final response. */
  void checkAttempt(TrackedRequest request, Duration now, Duration timeout) {
    assertThat(request.isClosed()).as("attempt after the final response").isFalse();
    assertThat(now.plus(timeout))
        .as("end of the attempt, which must be at least two ticks before the deadline")
        .isLessThanOrEqualTo(request.deadline().minus(DEADLINE_MARGIN));
    assertThat(request.inFlight()).as("other attempts in flight").isZero();
  }

  /** Checks that the request may be executed again at this time and worker. */
  void checkRetry(TrackedRequest request, Duration now, long firstWorkerId, long workerId) {
    assertThat(settings.idempotency)
        .as("idempotency of a retried request")
        .isNotEqualTo(Idempotency.NON_IDEMPOTENT);
    if (settings.idempotency != Idempotency.IDEMPOTENT_WITH_KEY) {
      return;
    }
    if (settings.deduplicationScope != DeduplicationScope.ALL) {
      assertThat(zone(workerId)).as("zone of the retry").isEqualTo(zone(firstWorkerId));
    }
    if (settings.deduplicationScope == DeduplicationScope.CELL) {
      assertThat(cell(workerId)).as("cell of the retry").isEqualTo(cell(firstWorkerId));
    }
    assertThat(now.minus(request.firstSentAt()))
        .as("time from the first attempt that may have executed to the retry")
        .isLessThan(settings.deduplicationWindow(0).minus(DEADLINE_MARGIN));
  }

  static int zone(long workerId) {
    return (int) (workerId % 2);
  }

  static int cell(long workerId) {
    return (int) (workerId % 3);
  }

  void checkResponse(TrackedRequest request, Duration now) {
    assertThat(now).as("time of the final response").isLessThan(request.deadline());
  }

  void checkRejection(TrackedRequest request, Duration now) {
    assertThat(request.isClosed()).as("second final response").isFalse();
    boolean repeatable =
        settings.idempotency == Idempotency.IDEMPOTENT
            || (settings.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                && settings.deduplicationScope == DeduplicationScope.ALL);
    assertThat(request.mayHaveExecuted() && !repeatable)
        .as("rejection of a request that a retry may execute again")
        .isFalse();
    checkResponse(request, now);
  }

  void checkFailure(TrackedRequest request, Duration now) {
    assertThat(request.isClosed()).as("second final response").isFalse();
    assertThat(request.mayHaveExecuted()).as("failed request may have executed").isTrue();
    checkResponse(request, now);
  }

  /**
   * Checks the number of attempts in the last overload window at a worker that is warming up.
   *
   * @param startedAt when the worker's process started, null if long ago
   */
  void checkSlowStart(int worker, Duration startedAt, Duration now) {
    if (startedAt == null || now.minus(startedAt).compareTo(settings.warmUpDuration()) >= 0) {
      return;
    }
    ArrayDeque<Duration> attempts =
        slowStartAttempts.computeIfAbsent(worker, index -> new ArrayDeque<>());
    attempts.add(now);
    dropOlderThan(attempts, settings.slowStartOverloadWindow(), now);
    assertThat(attempts.size())
        .as("attempts in the overload window")
        .isLessThanOrEqualTo(MAX_SLOW_START_ATTEMPTS);
  }

  void requestArrived(Duration now) {
    arrivals.add(now);
  }

  /** Checks that load commands stay within the quota. */
  void checkLoadCommand(Duration now) {
    loads.add(now);
    dropOlderThan(loads, settings.loadQuotaWindow, now);
    dropOlderThan(arrivals, settings.loadQuotaWindow, now);
    assertThat((double) loads.size())
        .as("load commands in the quota window")
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
