package switchgap.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.api.WorkerState;
import switchgap.router.RouterCore;

/**
 * Textbook choices to measure the module against: any ready worker by chance, or each in turn. A miss has the copy
 * loaded there and the job waits for it; what may run again does, elsewhere; the rest is given up as the rules ask.
 */
final class BaselinePolicy implements RouterCore.Policy, PolicyEvents {
    private static final class HeldRequest {
        final int job;
        final int workload;
        final int function;
        final Duration limit;
        int executions, out, mayHaveRun;
        boolean closed;

        HeldRequest(int job, int workload, int function, Duration limit) {
            this.job = job;
            this.workload = workload;
            this.function = function;
            this.limit = limit;
        }
    }

    private final RouterSettings terms;
    private final boolean turns;
    private final SplittableRandom chance;
    private final Duration margin;
    private final List<Integer> ready = new ArrayList<>();
    private final Map<Integer, WorkerState> standing = new HashMap<>();
    private final Map<Integer, HeldRequest> held = new HashMap<>();
    private final Map<Long, List<HeldRequest>> loading = new HashMap<>();
    private final Map<Integer, Integer> flying = new HashMap<>();
    private Duration now = Duration.ZERO;
    private PolicyActions out;
    private int turn;
    private boolean wakes;

    BaselinePolicy(RouterSettings terms, boolean turns, long seed) {
        this.terms = terms;
        this.turns = turns;
        this.chance = new SplittableRandom(seed);
        this.margin = terms.tickInterval().multipliedBy(2);
    }

    @Override public void tick(Duration at, EventBatch in, PolicyActions to) {
        now = at;
        out = to;
        in.deliverTo(this);
        List<Integer> due = new ArrayList<>();
        held.forEach((j, h) -> {
            if (!h.closed && h.out == 0 && now.plus(margin.multipliedBy(2)).compareTo(h.limit) >= 0) {
                due.add(j);
            }
        });
        due.forEach(j -> giveUp(j, held.get(j)));
        if (!wakes) {
            wakes = true;
            out.scheduleWakeUp(margin, 0);
        }
    }

    private void place(int job, HeldRequest h) {
        if (h.closed) { return; }
        if (ready.isEmpty() || h.executions >= terms.maxAttempts()
            || now.plus(margin).compareTo(h.limit) >= 0) {
            giveUp(job, h);
            return;
        }
        send(job, h, ready.get(turns ? turn++ % ready.size() : chance.nextInt(ready.size())));
    }

    private void send(int job, HeldRequest h, int worker) {
        h.executions++;
        h.out++;
        flying.merge(worker, 1, Integer::sum);
        out.startAttempt(job, worker, h.limit.minus(now).minus(margin));
    }

    private void giveUp(int job, HeldRequest h) {
        if (h.closed) { return; }
        h.closed = true;
        if (terms.idempotency(h.workload) == Idempotency.IDEMPOTENT || h.mayHaveRun + h.out == 0) {
            out.reject(job, null);
        } else {
            out.fail(job);
        }
        settle(job, h);
    }

    private void settle(int job, HeldRequest h) {
        if (h.closed && h.out == 0 && held.remove(job) != null) { out.releaseRequest(job); }
    }

    @Override public void endpointListStarted(boolean whole) {
        if (whole) { standing.replaceAll((w, s) -> WorkerState.GONE); }
    }

    @Override public void endpointListed(EndpointEntry entry) {
        standing.put(entry.worker(), entry.state());
    }

    @Override public void endpointListEnded() {
        ready.clear();
        standing.forEach((w, s) -> { if (s == WorkerState.READY) { ready.add(w); } });
        List<Integer> gone = new ArrayList<>();
        standing.forEach((w, s) -> {
            if (s == WorkerState.GONE && flying.getOrDefault(w, 0) == 0
                && loading.keySet().stream().noneMatch(k -> (int) (k >> 32) == w)) {
                gone.add(w);
            }
        });
        gone.forEach(w -> {
            standing.remove(w);
            out.releaseWorker(w);
        });
    }

    @Override public void endpointListFailed() {}

    @Override public void requestArrived(RequestArrival arrival) {
        HeldRequest h = new HeldRequest(arrival.request(), arrival.requestClass(), arrival.function(),
            arrival.deadline());
        held.put(h.job, h);
        place(h.job, h);
    }

    @Override public void attemptEnded(AttemptResult result) {
        int job = result.request();
        int worker = result.worker();
        AttemptOutcome end = result.outcome();
        HeldRequest h = held.get(job);
        h.out--;
        flying.merge(worker, -1, Integer::sum);
        h.mayHaveRun += end.neverExecuted() ? 0 : 1;
        h.closed |= result.requestClosed();
        if (!h.closed && end == AttemptOutcome.NOT_LOADED && standing.get(worker) == WorkerState.READY) {
            long key = (long) worker << 32 | h.function;
            List<HeldRequest> wait = loading.get(key);
            if (wait == null) {
                loading.put(key, wait = new ArrayList<>());
                out.load(worker, h.function);
            }
            wait.add(h);
        } else if (!h.closed) {
            if (h.mayHaveRun == 0 || terms.idempotency(h.workload) == Idempotency.IDEMPOTENT) {
                place(job, h);
            } else {
                giveUp(job, h);
            }
        }
        settle(job, h);
    }

    @Override public void loadCommandEnded(LoadCommandResult result) {
        int worker = result.worker();
        List<HeldRequest> wait = loading.remove((long) worker << 32 | result.function());
        if (wait == null) { return; }
        for (HeldRequest h : wait) { // a job given up meanwhile may have left its index to another
            int job = h.job;
            if (held.get(job) != h || h.closed || h.out > 0) { continue; }
            if (result.loadedReplicas() > 0 && standing.get(worker) == WorkerState.READY
                && h.executions < terms.maxAttempts()
                && now.plus(margin).compareTo(h.limit) < 0) {
                send(job, h, worker);
            } else {
                place(job, h);
            }
        }
    }

    @Override public void clientLeft(int job) {
        HeldRequest h = held.get(job);
        h.closed = true;
        settle(job, h);
    }

    @Override public void wakeUp(long token) { wakes = false; }

    @Override public void probeEnded(ProbeResult result) {}
}
