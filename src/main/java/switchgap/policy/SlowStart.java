package switchgap.policy;

import static switchgap.policy.state.Durations.toSeconds;

import java.time.Duration;
import java.util.Arrays;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Worker;

/**
 * Rule 4, slow start: limits what this router sends to a worker that warms up, so that all routers
 * together stay within the overload budget in any overload window W:
 *
 * <pre>
 *   share     = coldOverloadMultiple * capacityShare
 *   N         = share * W * fullRate
 *   budget(N) = N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 below 30 requests
 * </pre>
 *
 * Each router may send two thirds of its equal part of N in a window. Where that part is below one
 * request, the routers rotate: time since the worker's start is cut into slots of length W, and in
 * slot s the routers with {@code (s + routerIndex) % slots == 0} may send one request each:
 *
 * <pre>
 *   slots = ceil(routers / min(routers * share / MIN_ROTATION_SLOTS, budget(N) / 2)), 1 to routers
 * </pre>
 */
final class SlowStart {
  private static final double FEW_REQUESTS = 30; // below it the budget has more slack
  private static final double SLOT_BUDGET_SHARE = 0.5; // as one window can overlap two slots
  private static final double MIN_ROTATION_SLOTS = 3; // or one router alone would starve a worker

  private final PolicyState state;
  private final double ownOverloadMultiple; // this router's equal part
  private double averageWorkerRate; // requests a second from this router to an average worker

  SlowStart(PolicyState state) {
    this.state = state;
    ownOverloadMultiple = state.settings.coldOverloadMultiple / state.settings.routerCount;
  }

  void everySecond() {
    averageWorkerRate = 0;
    for (Worker worker : state.workers) { // the durations are those of the last one to two seconds
      double rate = worker.relativeDurations.total() / 2;
      averageWorkerRate += worker.isReady() ? rate / state.readyWorkers() : 0;
    }
  }

  /** The least share of its capacity that a worker had during the last overload window, 0 to 1. */
  double capacityShare(Worker worker) {
    Duration startedAt = worker.startedAt();
    return startedAt == null ? 1 : capacityShare(state.now().minus(startedAt));
  }

  private double capacityShare(Duration age) {
    double seconds = Math.max(0, toSeconds(age.minus(state.settings.coldOverloadWindow)));
    double risen = (1 - state.settings.coldCapacityShare) * seconds;
    double warmUpSeconds = toSeconds(state.settings.warmUpDuration);
    return Math.min(1, state.settings.coldCapacityShare + risen / warmUpSeconds);
  }

  /** Whether this router may send one more attempt to a worker now. */
  boolean admits(Worker worker) {
    if (!state.isWarmingUp(worker)) {
      return true;
    }
    Duration window = state.settings.coldOverloadWindow;
    // An earlier process of this router may have sent its part within the present window.
    if (!state.hasPassed(window)) {
      return false;
    }
    double fullLoad = ownOverloadMultiple * capacityShare(worker) * toSeconds(window) * fullRate();
    double allowed = fullLoad * 2 / 3; // a third is left for chance
    if (allowed >= 1) {
      return worker.slowStartSends.countWithin(state.now(), window) < Math.floor(allowed);
    }
    return admitsInRotation(worker, window);
  }

  /** Requests a second of a warm worker: serial ones of the slowest class, or the average rate. */
  private double fullRate() {
    double serialRate =
        Arrays.stream(state.settings.requestClasses)
            .mapToDouble(each -> 1 / toSeconds(LoadEstimator.usualDuration(each)))
            .min()
            .orElse(0);
    return Math.max(serialRate, averageWorkerRate * state.settings.routerCount);
  }

  /** Whether this router may send one request in the present slot of the rotation. */
  private boolean admitsInRotation(Worker worker, Duration window) {
    int routers = state.settings.routerCount;
    long slot = state.now().minus(worker.startedAt()).dividedBy(window);
    double share = state.settings.coldOverloadMultiple * capacityShare(window.multipliedBy(slot));
    double usefulSenders = routers * share / MIN_ROTATION_SLOTS;
    double slotBudget = budget(share * toSeconds(window) * fullRate()) * SLOT_BUDGET_SHARE;
    double slotCount = Math.ceil(routers / Math.min(usefulSenders, slotBudget));
    long slots = (long) Math.max(1, Math.min(routers, slotCount));
    int sent = worker.slowStartSends.countWithin(state.now(), window);
    return sent == 0 && (slot + state.settings.routerIndex) % slots == 0;
  }

  /** What all routers may send in a window where this many requests are due on average. */
  private static double budget(double requests) {
    boolean few = requests < FEW_REQUESTS;
    double slack = few ? 3 * Math.sqrt(requests) + 3 : 2 * Math.sqrt(requests) + 2;
    return requests + slack;
  }
}
