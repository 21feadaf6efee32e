package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import java.util.Arrays;
import switchgap.policy.state.*;

/**
 * Rule 4: how much this router may send to a worker that warms up, as its part of what all may
 * send.
 */
final class SlowStart {
  private static final double FEW_REQUESTS = 30; // below them chance has more slack
  private static final double TURN_SHARE =
      0.5; // of the budget in one turn, as two fall into one window
  private static final double MIN_TURNS_SHARE =
      3; // turns for all routers, times the share that is allowed

  private final PolicyState state;
  private final double
      ownOverloadMultiple; // of full capacity, for this router, at the end of the warm-up
  private double averageWorkerRate; // requests a second that this router has at an average worker

  SlowStart(PolicyState state) {
    this.state = state;
    ownOverloadMultiple = state.settings.coldOverloadMultiple / state.settings.routerCount;
  }

  void everySecond() {
    averageWorkerRate = 0;
    for (Worker worker :
        state.workers) { // its durations hold between one and two seconds of responses
      double rate = worker.relativeDurations.total() / 2;
      averageWorkerRate += worker.isReady() ? rate / state.readyWorkers : 0;
    }
  }

  /** The share of its capacity that a worker has at the least, as it was an overload window ago. */
  double capacityShare(Worker worker) {
    return worker.startedAt == null ? 1 : capacityShare(state.now.minus(worker.startedAt));
  }

  private double capacityShare(Duration age) {
    double seconds = Math.max(0, toSeconds(age.minus(state.settings.coldOverloadWindow)));
    double risen = (1 - state.settings.coldCapacityShare) * seconds;
    return Math.min(
        1, state.settings.coldCapacityShare + risen / toSeconds(state.settings.warmUpDuration));
  }

  /** Whether a worker may have one more attempt now; routers take turns for a part below one. */
  boolean admits(Worker worker) {
    if (!state.isWarmingUp(worker)) {
      return true;
    }
    Duration window = state.settings.coldOverloadWindow;
    // a process before this one, under the same name, may have sent its part in this very window
    if (!state.hasPassed(window)) {
      return false;
    }
    double allowed =
        ownOverloadMultiple * capacityShare(worker) * toSeconds(window) * fullRate() * 2 / 3;
    if (allowed >= 1) {
      return worker.sendsWhileCold.countWithin(state.now, window) < Math.floor(allowed);
    }
    return isOwnTurn(worker, window);
  }

  /** Requests a second that a warm worker bears: one after the other, and what it gets. */
  private double fullRate() {
    double serialRate =
        Arrays.stream(state.settings.requestClasses)
            .mapToDouble(each -> 1 / toSeconds(LoadEstimator.usualDuration(each)))
            .min()
            .orElse(0);
    return Math.max(serialRate, averageWorkerRate * state.settings.routerCount);
  }

  /**
   * Whether this router may send one request now: in each turn, one window long, some of the
   * routers may.
   */
  private boolean isOwnTurn(Worker worker, Duration window) {
    int routers = state.settings.routerCount;
    Duration age = state.now.minus(worker.startedAt);
    long number = age.dividedBy(window);
    double share = state.settings.coldOverloadMultiple * capacityShare(window.multipliedBy(number));
    // One router a turn starved new workers: so many that half of it is used at a warm one's rate.
    double usedInTurn = routers * share / MIN_TURNS_SHARE;
    double inTurn =
        Math.min(usedInTurn, budget(share * toSeconds(window) * fullRate()) * TURN_SHARE);
    long turns = (long) Math.max(1, Math.min(routers, Math.ceil(routers / inTurn)));
    int sent = worker.sendsWhileCold.countWithin(state.now, window);
    return sent == 0 && (number + state.settings.routerIndex) % turns == 0;
  }

  /** What all routers may send in a window, with the slack that the users grant for chance. */
  private static double budget(double requests) {
    boolean few = requests < FEW_REQUESTS;
    double slack = few ? 3 * Math.sqrt(requests) + 3 : 2 * Math.sqrt(requests) + 2;
    return requests + slack;
  }
}
