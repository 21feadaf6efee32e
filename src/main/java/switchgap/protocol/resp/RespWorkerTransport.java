package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.Connector;
import switchgap.net.NetworkTransport;
import switchgap.net.TcpConnection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/** Executions, orders and probes as RESP commands. Selector threads read and decode; all else runs on the router's loop. */
public final class RespWorkerTransport implements WorkerTransport {
    /**
     * Connections over all workers; connections and exchanges waiting for one, each a worker; executions that a connection
     * carries; the span of a connect and of lying idle; whether answers tell of a crowd.
     */
    public record ConnectionLimits(int connections, int links, int waiting, int multiplex,
        Duration connectWithin, Duration idle, boolean crowds) {}

    private static final int LEAST_LINKS = 2;
    private static final int MOST_STRING = 16 << 10; // the longest body
    final ConnectionLimits bounds;
    private final String[] names;
    private final Supplier<Duration> clock;
    private final Consumer<Consumer<RouterCore>> events;
    private final Set<RespConnectionPool> pools = new HashSet<>();
    private final TcpConnection.Factory opener;
    private final Duration probeLimit;
    private final Duration orderLimit;
    private long tags;
    private int connections; // up or being opened

    /**
     * {@code names} are those of the workloads, {@code clock} is the router's, {@code events} its loop. Orders and probes
     * are given up by the core after their limits.
     */
    public RespWorkerTransport(NetworkTransport net, ConnectionLimits bounds, String[] names,
        Duration orderLimit, Duration probeLimit, Supplier<Duration> clock,
        Consumer<Consumer<RouterCore>> events) {
        this.bounds = bounds;
        this.names = names;
        this.orderLimit = orderLimit;
        this.probeLimit = probeLimit;
        this.clock = clock;
        this.events = events;
        this.opener = new TcpConnection.Factory(net, new ReplyListener());
    }

    long nanos() { return clock.get().toNanos(); }

    /** As an event of its own: what the core asks is never answered at once. */
    void soon(Consumer<RouterCore> event) {
        events.accept(event);
    }

    private RespConnectionPool pool(WorkerEntry w) {
        if (w.attachment == null) {
            RespConnectionPool p = new RespConnectionPool(this, new InetSocketAddress(w.host, w.port));
            w.attachment = p;
            pools.add(p);
        }
        return (RespConnectionPool) w.attachment;
    }

    // ------------------------------------------------------------------ connections

    /** Connections that one worker may have, as the fleet in use shares them. */
    int perWorker() {
        return Math.max(LEAST_LINKS, Math.min(bounds.links, bounds.connections / Math.max(1, pools.size())));
    }

    /** Whether one more fits; past the bound, the one that has been of no use for longest goes for it. */
    boolean room() {
        if (connections < bounds.connections) { return true; }
        RespConnection least = null;
        for (RespConnectionPool p : pools) { least = p.leastUsed(least); }
        if (least != null) { least.bytes.close("the place is needed"); }
        return least != null;
    }

    /** One has ended, or never came up. */
    void ended() { connections--; }

    void dial(RespConnectionPool p, InetSocketAddress to) {
        connections++;
        opener.connect(to, bounds.connectWithin(), new Connector.ConnectCallback<>() {
            @Override public void connected(TcpConnection l) {
                RespConnection k = new RespConnection(l, p, new RespDecoder(MOST_STRING), nanos());
                l.attachment = k;
                events.accept(c -> p.opened(c, k)); // which looks whether it has closed since
            }

            @Override public void failed(String why) { events.accept(p::failed); }
        });
    }

    /** On selector threads. */
    private final class ReplyListener implements TcpConnection.Listener {
        @Override public void opened(TcpConnection l) {}

        @Override public void received(TcpConnection l, ByteBuffer more) {
            RespConnection k = (RespConnection) l.attachment;
            List<WorkerReply> replies = new ArrayList<>(2);
            String why = k == null ? "it spoke before it was asked" : null;
            try {
                if (k != null) { k.reader.take(more, parts -> replies.add(WorkerReply.of(parts))); }
            } catch (RespDecoder.MalformedReplyException x) {
                why = x.getMessage();
            }
            if (!replies.isEmpty()) { events.accept(c -> replies.forEach(r -> k.pool.answered(c, k, r))); }
            if (why != null) { l.close(why); } // unreadable once, it is of no use to anything out on it
        }

        @Override public void closed(TcpConnection l, String why) {
            if (l.attachment instanceof RespConnection k) { events.accept(c -> k.pool.closed(c, k)); }
        }
    }

    /** Closes idle links and forgets pools of workers that are gone; called now and then, on the loop. */
    public void sweep() {
        pools.removeIf(p -> p.sweep(bounds.idle().toNanos()));
    }

    /** Connections to workers, with those under way. */
    public int connections() { return connections; }

    // ------------------------------------------------------------------ what the core asks

    @Override public void startAttempt(Attempt run, Duration allow) {
        String fields = "profile=" + names[run.request.requestClass] + ",thing=" + run.request.function
            + ",max=" + Math.max(1, allow.toMillis());
        PendingExchange e = new PendingExchange(run.worker, run.request.id, run.request, false,
            RespCommandEncoder.with(run.request.body, "DO", run.request.id, fields),
            nanos() + allow.toNanos(),
            (c, end, r) -> c.attemptEnded(run, end, r == null ? LoadReport.NONE : r.loads(bounds.crowds()),
                end == AttemptOutcome.SUCCEEDED ? Response.succeeded(0, Map.of(), r.body()) : null));
        run.attachment = e;
        pool(run.worker).ask(e);
    }

    @Override public AttemptOutcome abandon(Attempt run) {
        return run.attachment instanceof PendingExchange e ? pool(run.worker).abandon(e)
            : AttemptOutcome.TIMED_OUT;
    }

    @Override public void abandon(WorkerCommand order) {
        if (order.attachment instanceof PendingExchange e) { pool(e.worker).abandon(e); }
    }

    private void ask(WorkerEntry worker, WorkerCommand order, String tag, boolean harmless, Duration limit,
        PendingExchange.CompletionListener ended, String... words) {
        PendingExchange e = new PendingExchange(worker, tag, null, harmless, RespCommandEncoder.of(words),
            nanos() + limit.toNanos(), ended);
        order.attachment = e;
        pool(worker).ask(e);
    }

    private String tag() { return "t" + Long.toString(++tags, 36); } // no id of a call: those are 16 hex digits

    @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
        WorkerCommand order) {
        String tag = tag();
        ask(worker, order, tag, copies == 0, orderLimit,
            (c, end, r) -> c.loadCommandEnded(order, end, r == null ? 0 : r.count()),
            "PIN", tag, "thing=" + function + ",count=" + copies);
    }

    @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {
        ask(worker, order, null, true, orderLimit, (c, end, r) -> c.unloadEnded(order), "UNPIN", function);
    }

    @Override public void probe(WorkerEntry worker, WorkerCommand order) {
        String tag = tag();
        ask(worker, order, tag, true, probeLimit,
            (c, end, r) -> c.probeEnded(order, end, r == null ? LoadReport.NONE : r.loads(false)),
            "METER", tag);
    }

    @Override public void stopAccepting(WorkerEntry worker, boolean forGood) {
        if (!(worker.attachment instanceof RespConnectionPool p)) { return; }
        if (forGood) {
            p.retire();
        } else {
            p.refuse();
        }
    }

    @Override public void requestEndpointList() {} // the control feed tells by itself
}
