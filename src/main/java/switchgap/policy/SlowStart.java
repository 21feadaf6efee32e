package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import java.util.Arrays;
import switchgap.policy.state.*;

/** Rule 4: how much this router may send to a worker that warms up, as its part of what all may send. */
final class SlowStart {
    private final PolicyState state;
    private final double ownOverloadMultiple; // of full capacity, for this router, at the end of the warm-up
    private double averageWorkerRate;         // requests a second that this router has at an average worker

    SlowStart(PolicyState state) {
        this.state = state;
        ownOverloadMultiple = state.settings.coldOverloadMultiple / state.settings.routerCount;
    }

    void everySecond() {
        averageWorkerRate = 0;
        for (Worker worker : state.workers) { // its durations hold between one and two seconds of responses
            double rate = worker.relativeDurations.total() / 2;
            averageWorkerRate += worker.isReady() ? rate / state.readyWorkers : 0;
        }
    }

    /** The share of its capacity that a worker has at the least, as it was an overload window ago. */
    double capacityShare(Worker worker) {
        if (worker.startedAt == null) { return 1; }
        Duration age = state.now.minus(worker.startedAt).minus(state.settings.coldOverloadWindow);
        double risen = (1 - state.settings.coldCapacityShare) * Math.max(0, toSeconds(age));
        double warmUp = toSeconds(state.settings.warmUpDuration);
        return Math.min(1, state.settings.coldCapacityShare + risen / warmUp);
    }

    /** Whether a worker may have one more attempt now; routers take turns for a part below one. */
    boolean admits(Worker worker) {
        if (!state.isWarmingUp(worker)) { return true; }
        Duration window = state.settings.coldOverloadWindow;
        int sent = worker.sendsWhileCold.countWithin(state.now, window);
        double serialRate = Arrays.stream(state.settings.requestClasses).mapToDouble(
            each -> 1 / toSeconds(LoadEstimator.usualDuration(each))).min().orElse(0);
        // It bears one request after the other, and what it gets; two thirds, as the two can add up.
        double rate = Math.max(serialRate, averageWorkerRate * state.settings.routerCount);
        double allowed = ownOverloadMultiple * capacityShare(worker) * toSeconds(window) * rate * 2 / 3;
        if (allowed >= 1) { return sent < Math.floor(allowed); }
        // One router a turn starved new workers: so many that half of it is used at a warm one's rate.
        double share = ownOverloadMultiple * state.settings.routerCount * capacityShare(worker);
        long turns = (long) Math.min(state.settings.routerCount, Math.ceil(3 / share));
        long turn = state.now.minus(worker.startedAt).dividedBy(window) + state.settings.routerIndex;
        return sent == 0 && turn % turns == 0;
    }
}
