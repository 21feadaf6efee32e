package switchgap.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.emulator.EmulatedWorker;
import switchgap.emulator.FunctionModel;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.AdmissionGate;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/** The program's own core and gate in simulated time: its outside is the emulator's machines, a hop away. */
final class EmulatedRouter implements WorkerTransport {
    private static final byte[] NOTHING = {};
    private final Emulator world;
    private final long born;
    private final List<Consumer<RouterCore>> events = new ArrayList<>();
    private AdmissionGate gate;
    private boolean due;
    private long wake = Long.MAX_VALUE;
    private boolean dead;

    EmulatedRouter(Emulator world) {
        this.world = world;
        this.born = world.ticker.now();
    }

    void gate(AdmissionGate g) {
        gate = g;
        post(c -> {});
    }

    AdmissionGate gate() { return gate; }

    /** The process dies: what it held is lost. */
    void kill() { dead = true; }

    Duration now() { return Duration.ofNanos((world.ticker.now() - born) * 1000); }

    void post(Consumer<RouterCore> e) {
        if (dead) { return; }
        events.add(e);
        if (!due) {
            due = true;
            world.ticker.after(world.quantum, this::round);
        }
    }

    private void round() {
        due = false;
        if (dead) { return; }
        List<Consumer<RouterCore>> now = new ArrayList<>(events);
        events.clear();
        gate.core().tick(now(), now);
        Duration next = gate.core().nextDue();
        long at = next == null ? Long.MAX_VALUE : born + next.toNanos() / 1000 + 1;
        if (at < wake || wake <= world.ticker.now()) {
            wake = at;
            world.ticker.after(at - world.ticker.now(), () -> {
                if (wake == at && !due && !dead) {
                    wake = Long.MAX_VALUE;
                    round();
                }
            });
        }
    }

    private LoadReport loads(EmulatedWorker m, int crowd) {
        return world.day.tellsLoad() ? new LoadReport(m.busy(), m.inHand(), m.waiting(), crowd)
            : new LoadReport(Double.NaN, Double.NaN, Double.NaN, crowd);
    }

    @Override public void startAttempt(Attempt run, Duration allow) {
        EmulatedWorker m = world.machine(run.worker.name);
        FunctionModel model = world.catalogue.find(run.request.function);
        world.ticker.after(world.hop, () -> {
            if (dead || m == null || m.dead()) {
                world.ticker.after(world.hop, () -> post(
                    c -> c.attemptEnded(run, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null)));
                return;
            }
            run.attachment = m.infer(model, () -> {},
                (o, crowd) -> world.ticker.after(world.hop, () -> post(c -> c.attemptEnded(run, switch (o) {
                    case OK, DROPPED -> AttemptOutcome.SUCCEEDED;
                    case MISS -> AttemptOutcome.NOT_LOADED;
                    case FULL -> AttemptOutcome.REJECTED;
                    default -> AttemptOutcome.FAILED;
                }, loads(m, crowd), Response.succeeded(200, Map.of(), NOTHING)))));
        });
    }

    @Override public AttemptOutcome abandon(Attempt run) {
        EmulatedWorker m = world.machine(run.worker.name);
        world.ticker.after(world.hop, () -> {
            if (m != null && run.attachment instanceof EmulatedWorker.Execution w) { m.leave(w); }
        });
        return AttemptOutcome.TIMED_OUT;
    }

    @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
        WorkerCommand order) {
        EmulatedWorker m = world.machine(worker.name);
        world.ticker.after(world.hop, () -> {
            if (m == null || m.dead()) {
                post(c -> c.loadCommandEnded(order, AttemptOutcome.CONNECT_FAILED, 0));
            } else if (copies == 0) {
                int n = m.standing(function);
                world.ticker.after(world.hop,
                    () -> post(c -> c.loadCommandEnded(order, AttemptOutcome.SUCCEEDED, n)));
            } else {
                m.hold(world.catalogue.find(function), copies,
                    (o, n) -> world.ticker.after(world.hop,
                        () -> post(c -> c.loadCommandEnded(order,
                            o == EmulatedWorker.Outcome.OK ? AttemptOutcome.SUCCEEDED
                                : o == EmulatedWorker.Outcome.FULL ? AttemptOutcome.REJECTED
                                    : AttemptOutcome.FAILED,
                            n))));
            }
        });
    }

    @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {
        EmulatedWorker m = world.machine(worker.name);
        if (m != null) { world.ticker.after(world.hop, () -> m.drop(function)); }
        world.ticker.after(2 * world.hop, () -> post(c -> c.unloadEnded(order)));
    }

    @Override public void probe(WorkerEntry worker, WorkerCommand order) {
        EmulatedWorker m = world.machine(worker.name);
        world.ticker.after(2 * world.hop,
            () -> post(c -> c.probeEnded(order, m == null || m.dead() ? AttemptOutcome.CONNECT_FAILED
                : AttemptOutcome.SUCCEEDED, m == null ? LoadReport.NONE : loads(m, -1))));
    }

    @Override public void abandon(WorkerCommand order) {}

    @Override public void requestEndpointList() {}
}
