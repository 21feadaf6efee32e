package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import switchgap.policy.RoutingPolicy;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.api.WorkerState;

/**
 * One router: owns one {@link RoutingPolicy}. Its owner calls {@link #round} from one thread with what came in; the event
 * methods below are for those events only. It decides nothing that the module decides; it only keeps what is
 * mechanical about the rules: one answer a call, none past its limit, one end an execution.
 */
public final class RouterCore {
    private final RouterSettings terms;
    private final WorkerTransport outside;
    private final Policy decide;
    private final ActionExecutor carrier = new ActionExecutor();
    private final Duration orderLimit;
    private final Duration probeLimit;
    private final int mostFunctions;
    private final TimerQueue timers = new TimerQueue();
    private final NameIndex functions = new NameIndex();
    private final Map<String, WorkerEntry> seen = new HashMap<>();
    private final List<WorkerEntry> workers = new ArrayList<>();
    private final List<Integer> freeWorkers = new ArrayList<>();
    private final List<PendingRequest> calls = new ArrayList<>();
    private final List<Integer> freeCalls = new ArrayList<>();
    private Duration now = Duration.ZERO;
    private PolicyEvents feed;
    private RequestObserver watch = (c, a) -> { };
    private int held;

    /** What decides: the module, or in measurements a baseline. */
    public interface Policy {
        void round(Duration now, EventBatch in, PolicyActions out);
    }

    /** Hears of each call taken how it ended: its answer, null where it got none. */
    interface RequestObserver {
        void ended(PendingRequest c, Response a);

        /** What a worker told with an execution's end. */
        default void told(LoadReport l) { }
    }

    void watch(RequestObserver w) { watch = w; }

    /** Time of the round, since the router's start. */
    public Duration now() { return now; }

    /** Runs in a round at that time or soon after. */
    public void later(Duration at, Runnable then) { timers.at(at, then); }

    /** A core under the module. Orders and probes are given up after their limits. */
    public RouterCore(RouterSettings terms, long seed, WorkerTransport outside, Duration orderLimit, Duration probeLimit, int mostFunctions) {
        this(terms, new RoutingPolicy(terms, seed)::tick, outside, orderLimit, probeLimit, mostFunctions);
    }

    /** At most so many functions are known at a time. */
    public RouterCore(RouterSettings terms, Policy decide, WorkerTransport outside, Duration orderLimit, Duration probeLimit,
                int mostFunctions) {
        this.terms = terms;
        this.outside = outside;
        this.orderLimit = orderLimit;
        this.probeLimit = probeLimit;
        this.mostFunctions = mostFunctions;
        this.decide = decide;
    }

    /** One round of the module with all that came in, and what is due. */
    public void round(Duration at, Iterable<Consumer<RouterCore>> events) {
        now = at;
        decide.round(at, f -> {
            feed = f;
            events.forEach(e -> e.accept(this));
            timers.fire(at);
            feed = null;
        }, carrier);
    }

    /** When the next round is due without an event, or null. */
    public Duration nextDue() {
        return timers.next();
    }

    /** Calls held: taken and without their answer. */
    public int held() {
        return held;
    }

    /** Everything that must be none once all is over: calls known to the module and executions out. */
    public int outstanding() {
        int n = 0;
        for (PendingRequest c : calls) { n += c == null ? 0 : 1; }
        return n;
    }

    /** Importance of the calls that are held and at no worker, by function. */
    public Map<String, Double> waitingWorth() {
        Map<String, Double> worth = new HashMap<>();
        for (PendingRequest c : calls) {
            if (c != null && c.state == PendingRequest.State.HELD && c.runs.stream().allMatch(r -> r.ended)) {
                worth.merge(c.function, terms.priorityWeight(c.workload), Double::sum);
            }
        }
        return worth;
    }

    // ------------------------------------------------------------------ events

    /** A call came. Taken: it gets one final answer. Not taken (false): its limit has passed or no room is left. */
    public boolean callCame(PendingRequest c) {
        if (c.limit.compareTo(now) <= 0 || functions.find(c.function) < 0 && functions.size() >= mostFunctions) {
            c.state = PendingRequest.State.REFUSED;
            return false;
        }
        c.index = freeCalls.isEmpty() ? calls.size() : freeCalls.remove(freeCalls.size() - 1);
        if (c.index == calls.size()) { calls.add(c); } else { calls.set(c.index, c); }
        c.taken = now;
        held++;
        feed.requestArrived(new RequestArrival(c.index, c.workload, c.customer < 0 ? terms.tenantCount() : c.customer, functions.add(c.function), NameIndex.mark(c.function), c.limit, c.hint, c.memory, c.lanes));
        return true;
    }

    /** The client hung up or asked to leave. */
    public void clientLeft(PendingRequest c) {
        if (c.state == PendingRequest.State.HELD && c.index >= 0) {
            end(c, PendingRequest.State.LEFT);
            watch.ended(c, null);
            feed.clientLeft(c.index);
        } else if (c.state == PendingRequest.State.HELD) { // was not offered to the module yet
            c.state = PendingRequest.State.LEFT;
        }
    }

    /**
     * An execution ended; the first end counts, a later one is a late answer and reaches nobody. An answer that
     * comes when the limit has passed (a pause) is told as overdue: most protocols send nothing after a limit.
     */
    public void executionEnded(Attempt r, AttemptOutcome end, LoadReport loads, Response answer) {
        if (r.ended) { return; }
        r.ended = true;
        r.mayHaveRun = !end.neverExecuted();
        timers.stop(r.timer);
        watch.told(loads);
        PendingRequest c = r.call;
        boolean first = end == AttemptOutcome.SUCCEEDED && c.state == PendingRequest.State.HELD;
        if (first) { answer(c, answer); }
        feed.attemptEnded(new AttemptResult(c.index, r.number, r.worker.index, end, now.minus(r.sent), c.state != PendingRequest.State.HELD, loads));
    }

    public void orderEnded(WorkerCommand o, AttemptOutcome end, int standing) {
        if (ends(o) && known(o.worker)) {
            feed.loadCommandEnded(new LoadCommandResult(o.worker.index, o.function, end, now.minus(o.sent), standing));
        }
    }

    public void dropEnded(WorkerCommand o) {
        ends(o);
    }

    public void probed(WorkerCommand o, AttemptOutcome end, LoadReport loads) {
        if (ends(o) && known(o.worker)) {
            feed.probeEnded(new ProbeResult(o.worker.index, end, loads));
        }
    }

    /** Whether this is its first end. */
    private boolean ends(WorkerCommand o) {
        boolean first = !o.ended;
        o.ended = true;
        timers.stop(o.timer);
        return first;
    }

    /** A version of the list, whole or its changes; a worker with a new address is a new process to the links. */
    public void list(boolean whole, List<EndpointUpdate> lines) {
        feed.endpointListStarted(whole);
        Set<String> named = new HashSet<>();
        for (EndpointUpdate l : lines) {
            WorkerEntry s = seen.get(l.name());
            if (s == null) {
                if (l.standing() == WorkerState.GONE) { continue; }
                s = new WorkerEntry(l.name(), l.host(), l.port(), newWorker());
                seen.put(l.name(), s);
                workers.set(s.index, s);
            } else if (s.port != l.port() || !s.host.equals(l.host())) {
                WorkerEntry moved = new WorkerEntry(l.name(), l.host(), l.port(), s.index);
                takes(s, false, true); // whatever listens there now is not this worker
                seen.put(l.name(), moved);
                workers.set(s.index, moved);
                s = moved;
            }
            named.add(l.name());
            takes(s, l.standing() == WorkerState.READY, false);
            feed.endpointListed(new EndpointEntry(s.index, NameIndex.mark(l.name()), l.standing(), l.zone(), l.cell(), l.kind(), l.size(), l.started()));
        }
        for (WorkerEntry s : whole ? workers : List.<WorkerEntry>of()) {
            if (s != null && !named.contains(s.name)) { takes(s, false, false); }
        }
        feed.endpointListEnded();
    }

    private void takes(WorkerEntry s, boolean takesNew, boolean forGood) {
        boolean stops = s.takesNew && !takesNew;
        s.takesNew = takesNew;
        if (stops || forGood) { outside.stopAccepting(s, forGood); }
    }

    public void listFailed() {
        feed.endpointListFailed();
    }

    /** An index may have been handed out again while a probe was out. */
    private boolean known(WorkerEntry w) {
        WorkerEntry s = w.index < 0 ? null : workers.get(w.index);
        return s != null && s.name.equals(w.name);
    }

    private int newWorker() {
        if (!freeWorkers.isEmpty()) { return freeWorkers.remove(freeWorkers.size() - 1); }
        workers.add(null);
        return workers.size() - 1;
    }

    private void end(PendingRequest c, PendingRequest.State state) {
        c.state = state;
        held--;
    }

    private void answer(PendingRequest c, Response a) {
        if (now.compareTo(c.limit) >= 0) { // paused past the limit
            end(c, PendingRequest.State.OVERDUE);
            watch.ended(c, null);
            c.asker.overdue(c, a);
        } else {
            end(c, PendingRequest.State.ANSWERED);
            watch.ended(c, a);
            c.asker.answered(c, a);
        }
    }

    // ------------------------------------------------------------------ what the module decides

    /** Carries out decisions in the order they are taken. */
    private final class ActionExecutor implements PolicyActions {
        @Override public void startAttempt(int job, int worker, Duration allow) {
            PendingRequest c = calls.get(job);
            Attempt r = new Attempt(c, c.runs.size(), workers.get(worker), now);
            c.runs.add(r);
            r.timer = timers.at(now.plus(allow), () -> {
                if (!r.ended) {
                    executionEnded(r, outside.abandon(r), LoadReport.NONE, null); // asked and ended in one: see Outside
                }
            });
            outside.send(r, allow);
        }

        @Override public void cancelAttempt(int job, int execution) {
            Attempt r = calls.get(job).runs.get(execution);
            if (!r.ended) {
                outside.abandon(r);
                timers.at(now, () -> executionEnded(r, AttemptOutcome.CANCELLED, LoadReport.NONE, null));
            }
        }

        @Override public void reject(int job, Duration comeBack) {
            answer(job, Response.pushedBack(comeBack));
        }

        @Override public void fail(int job) {
            answer(job, Response.killed());
        }

        private void answer(int job, Response a) {
            PendingRequest c = calls.get(job);
            if (c.state == PendingRequest.State.HELD) { RouterCore.this.answer(c, a); }
        }

        @Override public void load(int worker, int function) { requestReplicas(worker, function, 1); }

        @Override public void queryReplicas(int worker, int function) { requestReplicas(worker, function, 0); }

        private void requestReplicas(int worker, int function, int copies) {
            WorkerCommand o = order(worker, function, orderLimit, x -> orderEnded(x, AttemptOutcome.TIMED_OUT, 0));
            outside.requestReplicas(o.worker, functions.name(function), copies, o);
        }

        @Override public void unload(int worker, int function) {
            WorkerCommand o = order(worker, function, orderLimit, RouterCore.this::dropEnded); // or at a silent worker it keeps a link for ever
            outside.unload(o.worker, functions.name(function), o);
        }

        @Override public void probe(int worker) {
            WorkerCommand o = order(worker, -1, probeLimit, x -> probed(x, AttemptOutcome.TIMED_OUT, LoadReport.NONE));
            outside.probe(o.worker, o);
        }

        /** An order that is given up after its limit, and how its end is then told. */
        private WorkerCommand order(int worker, int function, Duration limit, Consumer<WorkerCommand> timedOut) {
            WorkerCommand o = new WorkerCommand(workers.get(worker), function, now);
            o.timer = timers.at(now.plus(limit), () -> {
                outside.abandon(o);
                timedOut.accept(o);
            });
            return o;
        }

        @Override public void scheduleWakeUp(Duration after, long token) {
            timers.at(now.plus(after), () -> feed.wakeUp(token));
        }

        @Override public void subscribeToEndpoints() { outside.requestEndpointList(); }

        @Override public void releaseRequest(int job) {
            calls.get(job).index = -1;
            calls.set(job, null);
            freeCalls.add(job);
        }

        @Override public void releaseFunction(int function) { functions.release(function); }

        @Override public void releaseWorker(int worker) {
            WorkerEntry s = workers.get(worker);
            takes(s, false, true);
            seen.remove(s.name);
            s.index = -1;
            workers.set(worker, null);
            freeWorkers.add(worker);
        }
    }
}
