package switchgap.protocol.inference;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import switchgap.net.HttpClientConnection;
import switchgap.net.KeyedWriters;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Executions, orders and probes by the Open Inference Protocol (version 2, HTTP) with its model repository
 * extension and load reports as response headers. What a reply proves, for rule 2: a miss is a 404, a full one a
 * 429 or 503, each only with {@code named_metrics.executed=0} in its load report; any other reply that is no 2xx may
 * have run. Docs: docs/router.md.
 */
public final class InferenceWorkerTransport implements WorkerTransport {
    /** Bounds of the links: connections and exchanges waiting for one, each a worker; spans of connect and idling. */
    public record ConnectionLimits(int connections, int waiting, Duration connectWithin, Duration idle) {}

    private static final Set<
        String> OWN = Set.of("content-length", "transfer-encoding", "connection", "keep-alive",
            "date", "server", OrcaLoadReport.HEADER, "x-request-id");
    private static final byte[] NOTHING = {};
    private final HttpClientConnection.Factory opener;
    private final ConnectionLimits bounds;
    private final KeyedWriters carriers;
    private final Consumer<Consumer<RouterCore>> events;
    private final Runnable askList;
    private final Set<HttpConnectionPool> pools = ConcurrentHashMap.newKeySet();

    public InferenceWorkerTransport(HttpClientConnection.Factory opener, ConnectionLimits bounds,
        KeyedWriters carriers, Consumer<Consumer<RouterCore>> events,
        Runnable askList) {
        this.opener = opener;
        this.bounds = bounds;
        this.carriers = carriers;
        this.events = events;
        this.askList = askList;
    }

    /** A worker's links: an order holds its link for as long as a load takes, so orders have links of their own. */
    private record WorkerPools(HttpConnectionPool jobs, HttpConnectionPool orders) {}

    private WorkerPools both(WorkerEntry w) {
        WorkerPools b = (WorkerPools) w.attachment;
        if (b == null) {
            b = new WorkerPools(pool(w), pool(w));
            w.attachment = b;
            pools.add(b.jobs);
            pools.add(b.orders);
        }
        return b;
    }

    private HttpConnectionPool pool(WorkerEntry w) {
        return new HttpConnectionPool(opener, new InetSocketAddress(w.host, w.port), bounds.connections(),
            bounds.waiting(),
            bounds.connectWithin());
    }

    /** Closes idle links; called now and then. */
    public void sweep() {
        pools.forEach(p -> p.sweep(bounds.idle()));
    }

    @Override public void stopAccepting(WorkerEntry worker, boolean forGood) {
        if (!(worker.attachment instanceof WorkerPools b)) { return; }
        for (HttpConnectionPool p : new HttpConnectionPool[] {b.jobs, b.orders}) {
            if (forGood) {
                pools.remove(p);
                p.retire();
            } else {
                p.refuse();
            }
        }
    }

    public void close() {
        pools.forEach(HttpConnectionPool::close);
    }

    private static String model(String function) {
        return "/v2/models/" + URLEncoder.encode(function, StandardCharsets.UTF_8);
    }

    private static String repository(String function, String what) {
        return "/v2/repository/models/" + URLEncoder.encode(function, StandardCharsets.UTF_8) + "/" + what;
    }

    @Override public void startAttempt(Attempt run, Duration allow) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Request-Id", run.attemptId());
        if (run.request.contentType != null) { headers.put("Content-Type", run.request.contentType); }
        if (run.request.idempotencyKey != null) {
            headers.put("Idempotency-Key", run.request.idempotencyKey);
        }
        PendingExchange a = new PendingExchange(run.worker, "POST", model(run.request.function) + "/infer",
            headers, run.request.body) {
            @Override void unsent(AttemptOutcome end, String why) {
                events.accept(c -> c.attemptEnded(run, end, LoadReport.NONE, null));
            }

            @Override void replied(int status, Map<String, String> head, byte[] content) {
                String echo = head.get("x-request-id");
                if (echo != null && !echo.equals(run.attemptId())) { // the answer to another request: ours may have run
                    lost("answer to " + echo);
                    return;
                }
                OrcaLoadReport orca = OrcaLoadReport.read(head);
                AttemptOutcome end = proof(status, orca);
                Response answer = end == AttemptOutcome.SUCCEEDED
                    ? Response.succeeded(status, passedOn(head), content) : null;
                events.accept(c -> c.attemptEnded(run, end, orca.loads(), answer));
            }

            @Override void lost(String why) {
                events.accept(
                    c -> c.attemptEnded(run, AttemptOutcome.CONNECTION_LOST, LoadReport.NONE, null));
            }
        };
        run.attachment = a;
        a.expiresAt(System.nanoTime() + allow.toNanos());
        HttpConnectionPool p = both(run.worker).jobs();
        carriers.execute(run.worker.port, () -> p.ask(a));
    }

    /** What a reply to an execution means and proves. */
    static AttemptOutcome proof(int status, OrcaLoadReport orca) {
        boolean notRun = orca.named("executed") == 0;
        if (status >= 200 && status < 300) { return AttemptOutcome.SUCCEEDED; }
        if (notRun && status == 404) { return AttemptOutcome.NOT_LOADED; }
        return notRun && (status == 503 || status == 429) ? AttemptOutcome.REJECTED : AttemptOutcome.FAILED;
    }

    private static Map<String, String> passedOn(Map<String, String> head) {
        Map<String, String> on = new HashMap<>();
        head.forEach((k, v) -> {
            if (!OWN.contains(k)) { on.put(k, v); }
        });
        return on;
    }

    @Override public AttemptOutcome abandon(Attempt run) {
        return run.attachment instanceof PendingExchange a ? a.abandon() : AttemptOutcome.TIMED_OUT;
    }

    @Override public void abandon(WorkerCommand order) {
        if (order.attachment instanceof PendingExchange a) { a.abandon(); }
    }

    /** An exchange of an order or a probe: its end by what came of it. */
    private abstract class CommandExchange extends PendingExchange {
        CommandExchange(WorkerEntry worker, String method, String path, byte[] content) {
            super(worker, method, path,
                content.length == 0 ? Map.of() : Map.of("Content-Type", "application/json"), content);
        }

        abstract void end(AttemptOutcome end, OrcaLoadReport orca);

        @Override void unsent(AttemptOutcome end, String why) { end(end, OrcaLoadReport.read(Map.of())); }

        @Override void replied(int status, Map<String, String> head, byte[] content) {
            end(status >= 200 && status < 300 ? AttemptOutcome.SUCCEEDED
                : status == 503 || status == 429 ? AttemptOutcome.REJECTED : AttemptOutcome.FAILED,
                OrcaLoadReport.read(head));
        }

        @Override void lost(String why) {
            end(AttemptOutcome.CONNECTION_LOST, OrcaLoadReport.read(Map.of()));
        }
    }

    private void go(WorkerEntry worker, WorkerCommand order, PendingExchange a) {
        order.attachment = a;
        both(worker).orders().ask(a);
    }

    @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
        WorkerCommand order) {
        byte[] content = copies == 0 ? NOTHING
            : ("{\"parameters\":{\"copies\":" + copies + "}}").getBytes(StandardCharsets.UTF_8);
        PendingExchange a = new CommandExchange(worker, copies == 0 ? "GET" : "POST",
            copies == 0 ? model(function) + "/ready" : repository(function, "load"), content) {
            @Override void end(AttemptOutcome end, OrcaLoadReport orca) {
                double told = orca.named("copies"); // a worker that tells no count: ready means one
                int standing = Double.isNaN(told) ? end == AttemptOutcome.SUCCEEDED ? 1 : 0 : (int) told;
                events.accept(c -> c.loadCommandEnded(order, end, standing));
            }
        };
        go(worker, order, a);
    }

    @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {
        PendingExchange a = new CommandExchange(worker, "POST", repository(function, "unload"),
            "{\"parameters\":{\"idle_only\":true}}".getBytes(StandardCharsets.UTF_8)) {
            @Override void end(AttemptOutcome end, OrcaLoadReport orca) {
                events.accept(c -> c.unloadEnded(order));
            }
        };
        go(worker, order, a);
    }

    @Override public void probe(WorkerEntry worker, WorkerCommand order) {
        PendingExchange a = new CommandExchange(worker, "GET", "/v2/health/ready", NOTHING) {
            @Override void end(AttemptOutcome end, OrcaLoadReport orca) {
                events.accept(c -> c.probeEnded(order, end, orca.loads()));
            }
        };
        go(worker, order, a);
    }

    @Override public void requestEndpointList() { askList.run(); }
}
