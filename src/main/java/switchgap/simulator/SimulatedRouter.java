package switchgap.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import switchgap.config.PropertyRouterSettings;
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
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.IndexAllocator;

/** One router: its events decoded into the module's calls, the module's decisions encoded as records. */
final class SimulatedRouter implements EventBatch, PolicyActions {
    private static final int FAILED_LIST = 1;
    private static final int DELTA_LIST = 0;
    private static final long U32 = 0xffffffffL;
    private final int who;
    private final long born;
    private final ReplyFrame reply;
    private final IndexAllocator jobs = new IndexAllocator();
    private final IndexAllocator workers = new IndexAllocator();
    private final IndexAllocator functions = new IndexAllocator();
    private final List<byte[]> lists = new ArrayList<>();
    private int[] records = new int[16];
    private int taken;
    private ByteBuffer body;
    private RoutingPolicy decide;
    private boolean crowds;
    private int busyAt;
    private int heldAt;
    private int queuedAt;

    SimulatedRouter(int who, long clock, long seed, String info, ReplyFrame reply) {
        this.who = who;
        this.born = clock;
        this.reply = reply;
        try {
            PropertyRouterSettings terms = PropertyRouterSettings.parse(info);
            crowds = terms.reportsConcurrency();
            busyAt = terms.reportFieldIndex("load_share");
            heldAt = terms.reportFieldIndex("concurrent");
            queuedAt = terms.reportFieldIndex("depth");
            decide = new RoutingPolicy(terms, seed);
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    void take(int at, byte[] list) {
        if (taken == records.length) {
            records = Arrays.copyOf(records, taken * 2);
        }
        records[taken++] = at;
        if (list != null) {
            lists.add(list);
        }
    }

    void round(ByteBuffer frame, long clock) {
        body = frame;
        if (decide != null) {
            try {
                decide.tick(micros(clock - born), this, this);
            } catch (RuntimeException e) {
                fault(e);
                decide = null;
            }
        }
        taken = 0;
        lists.clear();
    }

    private void fault(RuntimeException e) {
        StackTraceElement[] at = e.getStackTrace();
        reply.text(reply.record(10, who) + 3, e + (at.length > 0 ? " at " + at[0] : ""));
    }

    private static Duration micros(long us) {
        return Duration.ofNanos(us * 1000);
    }

    private static long micros(Duration d) {
        return d.toNanos() / 1000;
    }

    private long server(int at) {
        return (body.getInt(at) & U32) << 16 | body.getShort(at + 4) & 0xffffL;
    }

    private void putServer(int at, int worker) {
        long name = workers.idOf(worker);
        reply.fields().putInt(at, (int) (name >>> 16)).putShort(at + 4, (short) name);
    }

    private double report(int at, int field) {
        return field >= 0 && field < (body.get(at) & 0xff) ? body.getFloat(at + 1 + 4 * field) : Double.NaN;
    }

    private static AttemptOutcome end(int code) {
        return switch (code) {
            case 0 -> AttemptOutcome.SUCCEEDED;
            case 13 -> AttemptOutcome.FAILED;
            case 8 -> AttemptOutcome.REJECTED;
            case 4 -> AttemptOutcome.TIMED_OUT;
            case 14 -> AttemptOutcome.CONNECT_FAILED;
            case 10 -> AttemptOutcome.CONNECTION_LOST;
            case 1 -> AttemptOutcome.CANCELLED;
            case 9 -> AttemptOutcome.NOT_SENT;
            case 5 -> AttemptOutcome.NOT_LOADED;
            default -> throw new IllegalArgumentException("unknown outcome " + code);
        };
    }

    @Override public void deliverTo(PolicyEvents feed) {
        int list = 0;
        for (int i = 0; i < taken; i++) {
            int at = records[i];
            int code = body.get(at) & 0xff;
            switch (code) {
                case 3 -> {
                    int job = jobs.find(body.getLong(at + 3));
                    if (job >= 0) {
                        feed.clientLeft(job);
                    }
                }
                case 4 -> {
                    int worker = workers.find(server(at + 3));
                    if (worker >= 0) {
                        feed.probeEnded(new ProbeResult(worker, end(body.get(at + 9)),
                            new LoadReport(report(at + 14, busyAt), report(at + 14, heldAt),
                                report(at + 14, queuedAt), -1)));
                    }
                }
                case 6 -> {
                    if (body.get(at + 11) == FAILED_LIST) {
                        feed.endpointListFailed();
                    } else {
                        list(feed, lists.get(list++), body.get(at + 11) != DELTA_LIST);
                    }
                }
                case 7 -> {
                    int job = jobs.find(body.getLong(at + 3));
                    if (job >= 0) {
                        feed.responseStarted(job, body.getShort(at + 21) & 0xffff);
                    }
                }
                case 8 -> ended(feed, at);
                case 10 -> feed.wakeUp(body.getLong(at + 3));
                case 11 -> {
                    int worker = workers.find(server(at + 3));
                    int function = functions.find(body.getLong(at + 14));
                    if (worker >= 0 && function >= 0) {
                        feed.loadCommandEnded(new LoadCommandResult(worker, function, end(body.get(at + 22)),
                            micros(body.getInt(at + 9) & U32), body.get(at + 13) & 0xff));
                    }
                }
                case 12 -> job(feed, at);
                default -> {} // a peer's message: nothing is shared
            }
        }
    }

    private void ended(PolicyEvents feed, int at) {
        int job = jobs.find(body.getLong(at + 3));
        int worker = workers.find(server(at + 13));
        if (job < 0 || worker < 0) {
            return;
        }
        AttemptOutcome end = end(body.get(at + 19));
        boolean told = crowds && (end == AttemptOutcome.SUCCEEDED || end == AttemptOutcome.REJECTED);
        feed.attemptEnded(new AttemptResult(job, body.getShort(at + 11) & 0xffff, worker, end,
            micros(body.getInt(at + 20) & U32), body.get(at + 24) != 0,
            new LoadReport(report(at + 26, busyAt), report(at + 26, heldAt), report(at + 26, queuedAt),
                told ? (body.get(at + 25) & 0xff) >> 3 : -1)));
    }

    private void job(PolicyEvents feed, int at) {
        long mark = body.getLong(at + 16);
        int marks = body.getShort(at + 48);
        feed.requestArrived(new RequestArrival(jobs.allocate(body.getLong(at + 3)), body.get(at + 11) & 0xff,
            body.getInt(at + 12), functions.allocate(mark), mark, micros(body.getLong(at + 24) - born),
            (marks & 1) == 0 ? null : micros(body.getInt(at + 32) & U32), body.getFloat(at + 36),
            Math.max(1, Math.round(body.getFloat(at + 40)))));
    }

    private void list(PolicyEvents feed, byte[] bytes, boolean whole) {
        ByteBuffer b = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        feed.endpointListStarted(whole);
        for (int at = 0; at < bytes.length; at += SimulatorHost.ENTRY) {
            WorkerState standing = switch (b.get(at)) {
                case 0 -> WorkerState.GONE;
                case 1 -> WorkerState.READY;
                default -> WorkerState.DRAINING;
            };
            long started = b.getLong(at + 3);
            long name = (b.getInt(at + 13) & U32) << 16 | b.getShort(at + 17) & 0xffffL;
            feed.endpointListed(new EndpointEntry(workers.allocate(name), name, standing,
                b.getShort(at + 1) & 0xffff, b.getShort(at + 11) & 0xffff, b.getShort(at + 19) & 0xffff,
                b.getFloat(at + 21), started == 0 ? null : micros(started - born)));
        }
        feed.endpointListEnded();
    }

    @Override public void startAttempt(int job, int worker, Duration allow) {
        int at = reply.record(1, who);
        reply.fields().putLong(at + 3, jobs.idOf(job)).putInt(at + 17, (int) micros(allow));
        putServer(at + 11, worker);
    }

    @Override public void reject(int job, Duration comeBack) {
        int at = reply.record(2, who);
        reply.fields().putLong(at + 3, jobs.idOf(job)).putInt(at + 11,
            comeBack == null ? 0 : (int) micros(comeBack));
    }

    @Override public void fail(int job) {
        int at = reply.record(3, who);
        reply.fields().putLong(at + 3, jobs.idOf(job));
    }

    @Override public void cancelAttempt(int job, int execution) {
        int at = reply.record(4, who);
        reply.fields().putLong(at + 3, jobs.idOf(job)).putShort(at + 11, (short) execution);
    }

    @Override public void scheduleWakeUp(Duration after, long token) {
        int at = reply.record(5, who);
        reply.fields().putInt(at + 3, (int) micros(after)).putLong(at + 7, token);
    }

    @Override public void probe(int worker) {
        putServer(reply.record(6, who) + 3, worker);
    }

    @Override public void subscribeToEndpoints() {
        int at = reply.record(11, who);
        reply.fields().put(at + 3, (byte) 1);
    }

    @Override public void load(int worker, int function) { requestReplicas(worker, function, 1); }

    @Override public void queryReplicas(int worker, int function) { requestReplicas(worker, function, 0); }

    private void requestReplicas(int worker, int function, int copies) {
        int at = reply.record(13, who);
        putServer(at + 3, worker);
        reply.fields().putLong(at + 9, functions.idOf(function)).put(at + 17, (byte) copies);
    }

    @Override public void unload(int worker, int function) {
        int at = reply.record(14, who);
        putServer(at + 3, worker);
        reply.fields().putLong(at + 9, functions.idOf(function));
    }

    @Override public void releaseRequest(int job) {
        jobs.release(job);
    }

    @Override public void releaseFunction(int function) {
        functions.release(function);
    }

    @Override public void releaseWorker(int worker) {
        workers.release(worker);
    }
}
