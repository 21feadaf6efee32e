package switchgap.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import switchgap.emulator.EmulatedModelServer;
import switchgap.emulator.FunctionModel;
import switchgap.emulator.WorkerFaults;

/** Brings the troubles of a day at their times and ends them. */
final class FaultScript {
    private final TestBed rig;
    private final Scenario day;
    private final LoadFaults loads;

    FaultScript(TestBed rig) {
        this.rig = rig;
        this.day = rig.day;
        this.loads = new LoadFaults(rig.ticker, rig.clients, rig.catalogue, rig.store, day.customers);
    }

    void start() {
        for (Scenario.Fault t : day.script) { rig.ticker.after(t.at(), () -> bring(t)); }
    }

    private void later(long micros, Runnable then) { rig.ticker.after(micros, then); }

    private void bring(Scenario.Fault t) {
        rig.scriptLog.line(rig.ticker.now(), "trouble", "verb", t.verb().name(), "lasts", t.lasts(), "part",
            t.part(),
            "size", t.size());
        if (loads.bring(t)) { return; }
        switch (t.verb()) {
            case SLOW -> {
                List<EmulatedModelServer> some = rig.some(t.part());
                some.forEach(s -> s.machine().slow(t.size()));
                later(t.lasts(), () -> some.forEach(s -> s.machine().slow(1)));
            }
            case ERRORS -> fault(t, WorkerFaults.Kind.ERROR);
            case ANSWERS_LOST -> fault(t, WorkerFaults.Kind.LOST);
            case RESET_MID_ANSWER -> fault(t, WorkerFaults.Kind.RESET);
            case HALF_ANSWERS -> fault(t, WorkerFaults.Kind.HALF);
            case LATE_ANSWERS -> fault(t, WorkerFaults.Kind.LATE);
            case ANSWERED_TWICE -> fault(t, WorkerFaults.Kind.TWICE);
            case OVERSIZED_ANSWERS -> fault(t, WorkerFaults.Kind.OVERSIZED);
            case CLOSED_AT_REQUEST -> fault(t, WorkerFaults.Kind.CLOSED_AT_REQUEST);
            case SLOW_CONNECTIONS -> fault(t, WorkerFaults.Kind.SLOW_CONNECT);
            case RELEASED_ANEW -> {
                for (FunctionModel m : rig.catalogue.known()) {
                    if (rig.chance.nextDouble() < t.part()) {
                        rig.servers.values().forEach(s -> s.machine().flush(m.name()));
                    }
                }
            }
            case TRAFFIC_MOVED -> {
                rig.clients.moveTo(t.of() == null ? day.zones.get(0) : t.of());
                later(t.lasts(), () -> rig.clients.moveTo(null));
            }
            case LIST_LATE -> {
                rig.list.lag(day.listLag + (long) (t.size() * 1e6));
                later(t.lasts(), () -> rig.list.lag(day.listLag));
            }
            case LIST_AWAY -> {
                rig.list.away(true);
                later(t.lasts(), () -> rig.list.away(false));
            }
            case DRAIN -> rig.some(t.part()).forEach(s -> replace(s, (long) (t.size() * 1e6)));
            case TAKEN_AWAY -> rig.some(t.part()).forEach(s -> replace(s, 500_000));
            case RELEASE -> release(t);
            case WORKERS_KILLED -> rig.some(t.part()).forEach(s -> {
                s.kill();
                later(t.lasts(), () -> {
                    rig.state(s.name, "gone");
                    worker();
                });
            });
            case WORKER_RESTARTED -> rig.some(t.part()).forEach(s -> rig.restart(s.name, t.lasts()));
            case ROUTER_KILLED -> restart((int) t.size() % day.routers, t.lasts());
            case ROUTERS_RESTARTED -> {
                int n = (int) Math.max(1, Math.round(t.part() * day.routers));
                for (int i = 0; i < n; i++) {
                    int r = i;
                    later(t.lasts() * i / n, () -> restart(r, 1_000_000));
                }
            }
            case ROUTER_PAUSED -> {
                int r = (int) t.size() % day.routers;
                rig.scriptLog.line(rig.ticker.now(), "router-paused", "router", r, "done",
                    rig.routers.get(r).pause(true));
                later(t.lasts(), () -> {
                    rig.routers.get(r).pause(false);
                    rig.scriptLog.line(rig.ticker.now(), "router-resumed", "router", r);
                });
            }
            case PLANNERS_KILLED -> {
                rig.routers.forEach(
                    r -> rig.scriptLog.line(rig.ticker.now(), "planner-killed", "done", r.killPlanner()));
                later(t.lasts(), rig::startPlanners);
            }
            case PLANNERS_PAUSED -> {
                rig.routers.forEach(r -> rig.scriptLog.line(rig.ticker.now(), "planner-paused", "done",
                    r.pausePlanner(true)));
                later(t.lasts(), () -> rig.routers.forEach(r -> r.pausePlanner(false)));
            }
            default -> throw new IllegalStateException("nobody brings " + t.verb());
        }
    }

    private void fault(Scenario.Fault t, WorkerFaults.Kind kind) {
        List<EmulatedModelServer> some = rig.some(t.part());
        some.forEach(s -> s.faults.set(kind, t.size()));
        later(t.lasts(), () -> some.forEach(s -> s.faults.set(kind, 0)));
    }

    private void worker() {
        try {
            rig.startWorker(true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void replace(EmulatedModelServer s, long drains) {
        rig.drain(s.name, drains);
        worker();
    }

    private void restart(int r, long down) {
        rig.killRouter(r);
        later(down, () -> rig.startRouter(r));
    }

    /** A rolling release: the workers of that moment give way in batches over the span. */
    private void release(Scenario.Fault t) {
        List<EmulatedModelServer> all = rig.some(t.part());
        int batch = Math.max(1, (int) Math.round(all.size() * 0.15));
        int batches = (all.size() + batch - 1) / batch;
        for (int b = 0; b < batches; b++) {
            List<EmulatedModelServer> these = all.subList(b * batch, Math.min(all.size(), (b + 1) * batch));
            later(t.lasts() * b / batches, () -> these.forEach(s -> {
                if (s.runs()) { replace(s, (long) (t.size() * 1e6)); }
            }));
        }
    }
}
