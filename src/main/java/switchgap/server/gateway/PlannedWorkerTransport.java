package switchgap.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.config.YamlRouterSettings;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PendingLoad;
import switchgap.planner.PendingLoadQueue;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/** Load orders wait for the planner's word before they go out; all else goes straight to the workers. On the loop's thread. */
final class PlannedWorkerTransport implements WorkerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(PlannedWorkerTransport.class);
    private static final int MOST_WAITING = 1024;

    /** An order that waits. */
    private record HeldLoad(WorkerEntry worker, String function, int copies, WorkerCommand order) {}

    /** Tells the planner; false where it was not told. */
    interface BacklogSender {
        boolean tell(LoadBacklog t);
    }

    private final WorkerTransport inner;
    private final YamlRouterSettings terms;
    private final Consumer<Consumer<RouterCore>> events;
    private final PendingLoadQueue wishes;
    private final Map<Long, HeldLoad> held = new HashMap<>();
    private final Map<WorkerCommand, Long> ids = new HashMap<>();
    private BacklogSender teller = t -> false;
    private Duration now = Duration.ZERO;
    private long seq;
    private boolean due;
    private boolean ticking;

    PlannedWorkerTransport(WorkerTransport inner, YamlRouterSettings terms, Duration patience,
        Consumer<Consumer<RouterCore>> events) {
        this.inner = inner;
        this.terms = terms;
        this.events = events;
        this.wishes = new PendingLoadQueue(patience, MOST_WAITING, new PendingLoadQueue.Listener() {
            @Override public void release(long id) { PlannedWorkerTransport.this.release(id); }

            @Override public void planRejected(String why) { LOG.warn("the planner is wrong: {}", why); }
        });
    }

    void teller(BacklogSender t) { teller = t; }

    void linked(RouterCore c, long epoch) {
        now = c.now();
        seq = 0;
        wishes.connected(epoch);
        tell(c);
    }

    void unlinked(RouterCore c, long epoch) {
        now = c.now();
        if (wishes.epoch() == epoch) { wishes.disconnected(); }
    }

    void plan(RouterCore c, LoadPlan p) {
        now = c.now();
        wishes.planReceived(p); // no word back: what a plan left waiting is told with what is asked for next, or goes out in time
    }

    PendingLoadQueue.State state() { return wishes.state(); }

    long epoch() { return wishes.epoch(); }

    int waiting() { return held.size(); }

    long[] counts() { return wishes.counts(); }

    private void release(long id) {
        HeldLoad h = held.remove(id);
        ids.remove(h.order);
        inner.requestReplicas(h.worker, h.function, h.copies, h.order); // refuses by itself what drains since it was asked
    }

    private void tell(RouterCore c) {
        due = false;
        now = c.now();
        if (wishes.state() != PendingLoadQueue.State.ALONE) {
            Map<String, Double> worth = held.isEmpty() ? Map.of() : c.queuedWeightByFunction(); // walks all calls held
            teller.tell(
                new LoadBacklog(wishes.epoch(), ++seq, wishes.waiting(now, f -> worth.getOrDefault(f, 0.0))));
        }
    }

    /** Once after what happens now. */
    private void soon() {
        if (!due && wishes.state() != PendingLoadQueue.State.ALONE) {
            due = true;
            events.accept(this::tell);
        }
    }

    private void tick(RouterCore c) {
        now = c.now();
        Duration next = wishes.tick(now);
        ticking = next != null;
        if (ticking) { c.schedule(next, () -> tick(c)); }
    }

    @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
        WorkerCommand order) {
        if (copies == 0) { // a question, no load
            inner.requestReplicas(worker, function, copies, order);
            return;
        }
        YamlRouterSettings.FunctionSettings e = terms.function(function);
        long load = e == null || e.loadTime() == null ? 0 : e.loadTime().toNanos() / 1000;
        long id = wishes.nextId();
        held.put(id, new HeldLoad(worker, function, copies, order));
        ids.put(order, id);
        now = order.sentAt();
        wishes.add(now, new PendingLoad(id, worker.name, function, e == null ? 0 : e.memoryMb(), load, 0, 0));
        soon();
        if (!ticking && held.containsKey(id)) {
            ticking = true;
            events.accept(this::tick);
        }
    }

    @Override public void abandon(WorkerCommand order) {
        Long id = ids.remove(order);
        if (id != null && wishes.withdraw(id)) {
            held.remove(id);
        } else {
            inner.abandon(order);
        }
    }

    @Override public void startAttempt(Attempt run, Duration allow) { inner.startAttempt(run, allow); }

    @Override public AttemptOutcome abandon(Attempt run) { return inner.abandon(run); }

    @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {
        inner.unload(worker, function, order);
    }

    @Override public void stopAccepting(WorkerEntry worker, boolean forGood) {
        inner.stopAccepting(worker, forGood);
    }

    @Override public void probe(WorkerEntry worker, WorkerCommand order) { inner.probe(worker, order); }

    @Override public void requestEndpointList() { inner.requestEndpointList(); }
}
