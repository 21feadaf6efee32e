package switchgap.policy;

import static switchgap.policy.state.Durations.toSeconds;

import java.time.Duration;
import java.util.Arrays;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Worker;

/**
 * Slow start: limits what this router sends to a worker that is warming up, so that all routers
 * together stay within the overload budget in any overload window of length W:
 *
 * <pre>
 *   share     = slowStartOverloadMultiple * capacityShare
 *   N         = share * W * fullRate
 *   budget(N) = N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 below 30 requests
 * </pre>
 *
 * Each router may send two thirds of its equal share of N per window. If that is less than one
 * request, the routers take turns: the time since the worker's start is divided into slots of
 * length W, and in slot s each router with {@code (s + routerIndex) % slots == 0} may send one
 * request:
 *
 * <pre>
 *   slots = ceil(routers / min(routers * share / MIN_ROTATION_SLOTS, budget(N) / 2)), 1 to routers
 * </pre>
 */
final class SlowStart {
  /** Number of requests per window below which the budget has more slack. */
  private static final double SMALL_BUDGET_REQUESTS = 30;

  /** Share of the budget that one slot may use, since a window can overlap two slots. */
  private static final double SLOT_BUDGET_SHARE = 0.5;

  /**
   * Minimum number of slots in a rotation at a share of 1. Several routers send in the same slot: a
   * rotation with one router per slot would starve a new worker.
   */
  private static final double MIN_ROTATION_SLOTS = 3;

  private final PolicyState state;

  /** This router's equal share of the overload multiple. */
  private final double ownOverloadMultiple;

  /** Mean rate at which this router's requests complete per ready worker, in requests/s. */
  private double averageWorkerRate;

  SlowStart(PolicyState state) {
    this.state = state;
    ownOverloadMultiple = state.settings.slowStartOverloadMultiple / state.settings.routerCount;
  }

  /** Measures the mean rate at which this router's requests complete at a ready worker. */
  void updateWorkerRate() {
    averageWorkerRate = 0;
    for (Worker worker : state.workers) {
      // The histogram covers the last one to two seconds.
      double completionRate = worker.relativeDurations.total() / 2;
      averageWorkerRate += worker.isReady() ? completionRate / state.readyWorkers() : 0;
    }
  }

  /**
   * The lowest share of its full capacity that a worker had in the last overload window, 0 to 1.
   */
  double capacityShare(Worker worker) {
    Duration startedAt = worker.startedAt();
    return startedAt == null ? 1 : capacityShare(state.now().minus(startedAt));
  }

  private double capacityShare(Duration age) {
    double risingSeconds =
        Math.max(0, toSeconds(age.minus(state.settings.slowStartOverloadWindow)));
    double gainedShare = (1 - state.settings.slowStartCapacityShare) * risingSeconds;
    double warmUpSeconds = toSeconds(state.settings.warmUpDuration);
    return Math.min(1, state.settings.slowStartCapacityShare + gainedShare / warmUpSeconds);
  }

  /** Whether slow start permits this router one more attempt at a worker now. */
  boolean admits(Worker worker) {
    if (!state.isWarmingUp(worker)) {
      return true;
    }
    Duration window = state.settings.slowStartOverloadWindow;
    // A previous process of this router may have used its share of the current window.
    if (!state.hasPassed(window)) {
      return false;
    }
    double ownRequests =
        ownOverloadMultiple * capacityShare(worker) * toSeconds(window) * fullRate();
    double allowedRequests = ownRequests * 2 / 3; // one third is reserve for random variation
    if (allowedRequests >= 1) {
      return worker.slowStartSends.countWithin(state.now(), window) < Math.floor(allowedRequests);
    }
    return admitsInRotation(worker, window);
  }

  /**
   * Estimated rate of a warm worker in requests/s: the greater of the rate at which it executes
   * requests of the slowest class one at a time and the mean rate of all routers.
   */
  private double fullRate() {
    double serialRate =
        Arrays.stream(state.settings.requestClasses)
            .mapToDouble(requestClass -> 1 / toSeconds(LoadEstimator.medianDuration(requestClass)))
            .min()
            .orElse(0);
    return Math.max(serialRate, averageWorkerRate * state.settings.routerCount);
  }

  /** Whether it is this router's turn to send one request in the current slot of the rotation. */
  private boolean admitsInRotation(Worker worker, Duration window) {
    int routers = state.settings.routerCount;
    long slot = state.now().minus(worker.startedAt()).dividedBy(window);
    double overloadShare =
        state.settings.slowStartOverloadMultiple * capacityShare(window.multipliedBy(slot));
    double maxSendersPerSlot = routers * overloadShare / MIN_ROTATION_SLOTS;
    double slotBudget = budget(overloadShare * toSeconds(window) * fullRate()) * SLOT_BUDGET_SHARE;
    double slotCount = Math.ceil(routers / Math.min(maxSendersPerSlot, slotBudget));
    long slots = (long) Math.max(1, Math.min(routers, slotCount));
    int sentInWindow = worker.slowStartSends.countWithin(state.now(), window);
    return sentInWindow == 0 && (slot + state.settings.routerIndex) % slots == 0;
  }

  /** Maximum number of requests of all routers in a window, for a mean of this many requests. */
  private static double budget(double requests) {
    boolean isSmall = requests < SMALL_BUDGET_REQUESTS;
    double slack = isSmall ? 3 * Math.sqrt(requests) + 3 : 2 * Math.sqrt(requests) + 2;
    return requests + slack;
  }
}
