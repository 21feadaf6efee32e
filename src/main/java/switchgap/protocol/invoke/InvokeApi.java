package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import switchgap.admission.ServiceLevel;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.KeyedWriters;
import switchgap.net.TimerThread;
import switchgap.router.AdmissionGate;
import switchgap.router.DeferredResults;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;

/**
 * The desk of the invoke API. Requests are checked on the selector thread that read them; what concerns calls and
 * deferred results is posted to the router's one loop. Takes at most so many calls at a time.
 */
public final class InvokeApi implements HttpServer.RequestHandler {
    private static final String JSON = "application/json";
    private final YamlRouterSettings terms;
    private final Supplier<Duration> now;
    private final Consumer<Consumer<RouterCore>> events;
    private final KeyedWriters carriers;
    private final DeferredResults deferred;
    private final Supplier<AdmissionGate> gate;
    private final ServiceLevelHandler levels;
    private volatile Function<RouterCore, byte[]> status;
    private final String prefix;
    private final int mostHeld;
    private final int mostWait;
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong next = new AtomicLong();
    private final AtomicLong[] ends = {new AtomicLong(), new AtomicLong(), new AtomicLong(),
        new AtomicLong()};
    private volatile boolean closing;

    /** {@code prefix} of call ids: unlike any other start of any router; {@code mostWait} seconds of a held poll. */
    public InvokeApi(YamlRouterSettings terms, Supplier<Duration> now, Consumer<Consumer<RouterCore>> events,
        KeyedWriters carriers,
        DeferredResults deferred, Supplier<AdmissionGate> gate, String prefix, int mostHeld, int mostWait) {
        this.terms = terms;
        this.now = now;
        this.events = events;
        this.carriers = carriers;
        this.deferred = deferred;
        this.gate = gate;
        this.levels = new ServiceLevelHandler(terms);
        this.prefix = prefix;
        this.mostHeld = mostHeld;
        this.mostWait = mostWait;
    }

    /** Takes no further calls; those held get their answers. */
    public void stopAccepting() {
        closing = true;
    }

    /** What {@code GET /v1/status} answers, as JSON; runs on the router's loop. */
    public void statusPage(Function<RouterCore, byte[]> s) {
        status = s;
    }

    public int pendingRequests() { return held.get(); }

    /** Calls ended so far: finished, pushed back, killed, overdue. */
    public long[] endCounts() {
        long[] n = new long[ends.length];
        for (int i = 0; i < n.length; i++) { n[i] = ends[i].get(); }
        return n;
    }

    @Override public void handle(HttpExchange r) {
        try {
            String[] at = r.path.split("/", -1);
            if (at.length == 5 && at[1].equals("v1") && at[2].equals("functions") && at[4].equals("invoke")) {
                only(r, "POST");
                invoke(at[3], r);
            } else if (at.length == 4 && at[1].equals("v1") && at[2].equals("calls")) {
                if (r.method.equals("DELETE")) {
                    events.accept(c -> leave(r, at[3], c));
                } else {
                    only(r, "GET");
                    int wait = wait(r);
                    events.accept(c -> look(r, at[3], wait));
                }
            } else if (r.path.equals("/v1/status") && status != null) {
                events.accept(
                    c -> r.respond(200, Map.of("Content-Type", "application/json"), status.apply(c)));
            } else if (r.path.equals("/v1/levels")) {
                events.accept(c -> levels.asked(r, gate.get()));
            } else if (r.path.equals("/metrics")) {
                events.accept(c -> r.respond(200, Map.of("Content-Type", "text/plain; version=0.0.4"),
                    levels.metrics(gate.get().admission(), held.get(), endCounts())));
            } else if (r.path.equals("/healthz")) {
                r.respond(closing ? 503 : 200, Map.of("Content-Type", "text/plain"),
                    (closing ? "stopping\n" : "ok\n").getBytes(StandardCharsets.US_ASCII));
            } else {
                throw InvokeRequest.no(404, "unknown-path", "nothing is at " + InvokeRequest.brief(r.path));
            }
        } catch (InvokeRequest.InvalidRequestException e) {
            refuse(r, e.problem, null);
        }
    }

    private static void only(HttpExchange r, String method) throws InvokeRequest.InvalidRequestException {
        if (!r.method.equals(method)) {
            throw InvokeRequest.no(405, "method-not-allowed",
                InvokeRequest.brief(r.method) + " is not spoken here, " + method + " is");
        }
    }

    private int wait(HttpExchange r) throws InvokeRequest.InvalidRequestException {
        String prefer = r.header("Prefer");
        int i = prefer == null ? -1 : prefer.indexOf("wait=");
        if (i < 0) { return 0; }
        String digits = prefer.substring(i + 5).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            throw InvokeRequest.no(400, "malformed-header", "Prefer: wait= needs seconds");
        }
        return Math.min(mostWait, Integer.parseInt(digits));
    }

    private void invoke(String function, HttpExchange r) throws InvokeRequest.InvalidRequestException {
        InvokeRequest a = InvokeRequest.read(function, r, terms);
        if (closing) { throw notTaken("the router is stopping"); }
        if (held.incrementAndGet() > mostHeld) {
            held.decrementAndGet();
            throw notTaken("the router holds " + mostHeld + " calls already");
        }
        Duration limit = now.get().plus(a.limit());
        if (a.deferred()) {
            events.accept(c -> defer(r, a, limit, c));
        } else {
            PendingRequest call = call(a, r, limit, prefix + next.getAndIncrement(), new Sync(r, a.call()));
            r.attachment = call;
            events.accept(c -> {
                if (!gate.get().offer(call)) {
                    held.decrementAndGet();
                    refuse(r, notTaken("no room for a further function").problem, a.call());
                } else if (!r.isOpen() && call.state() == PendingRequest.State.PENDING) {
                    c.clientLeft(call);
                    held.decrementAndGet();
                }
            });
        }
    }

    /** Never executed, so trying again is harmless: a pushback in all but that the call was not taken. */
    private static InvokeRequest.InvalidRequestException notTaken(String why) {
        return new InvokeRequest.InvalidRequestException(
            new ProblemDetails(503, "not-taken", why, Map.of("end", "pushed-back", "repeat_harmless", true)));
    }

    private static PendingRequest call(InvokeRequest a, HttpExchange r, Duration limit, String id,
        ResponseListener asker) {
        return PendingRequest.builder(id, a.function(), limit, asker).requestClass(a.workload()).tenant(
            a.customer()).durationHint(a.hint()).idempotencyKey(a.fingerprint()).payload(
                r.header("Content-Type"), r.body).replica(a.entry().memoryMb(), a.entry().slots()).build();
    }

    @Override public void clientLeft(HttpExchange r) {
        if (r.attachment instanceof PendingRequest call) {
            events.accept(c -> {
                if (call.state() == PendingRequest.State.PENDING) {
                    c.clientLeft(call);
                    held.decrementAndGet();
                }
            });
        } else if (r.attachment instanceof Runnable waiting) {
            events.accept(c -> waiting.run());
        }
    }

    /** A client that waits for its answer on the connection it asked on. */
    private final class Sync implements ResponseListener {
        private final HttpExchange r;
        private final String echo;

        Sync(HttpExchange r, String echo) {
            this.r = r;
            this.echo = echo;
        }

        @Override public void responded(PendingRequest c, Response a) {
            ended(a);
            carriers.execute(c.id.hashCode(), () -> {
                if (now.get().compareTo(c.deadline) < 0) {
                    reply(r, a, c.id, echo, c.shedBy);
                } else { // paused between the decision and the write: silence, not a late answer
                    ends[3].incrementAndGet();
                    r.drop();
                }
            });
        }

        @Override public void deadlineMissed(PendingRequest c, Response late) {
            ended(null);
            r.drop();
        }
    }

    private void ended(Response a) {
        held.decrementAndGet();
        ends[a == null ? 3 : a.kind().ordinal()].incrementAndGet();
    }

    // ------------------------------------------------------------------ deferred calls, on the loop

    private void defer(HttpExchange r, InvokeRequest a, Duration limit, RouterCore core) {
        deferred.tick(now.get());
        DeferredResults.Entry e = deferred.reserve();
        if (e == null) {
            held.decrementAndGet();
            refuse(r, notTaken("no room for a further deferred call").problem, a.call());
            return;
        }
        PendingRequest call = call(a, r, limit, deferred.id(e), new ResponseListener() {
            @Override public void responded(PendingRequest c, Response answer) {
                ended(answer);
                e.responded(c, answer);
            }

            @Override public void deadlineMissed(PendingRequest c, Response late) {
                ended(null);
                e.deadlineMissed(c, late);
            }
        });
        deferred.accepted(e, call);
        if (!gate.get().offer(call)) {
            held.decrementAndGet();
            deferred.notAccepted(e);
            refuse(r, notTaken("no room for a further function").problem, a.call());
            return;
        }
        Map<String, String> headers = headers(call.id, a.call());
        headers.put("Location", "/v1/calls/" + call.id);
        headers.put("Preference-Applied", "respond-async");
        headers.put("Content-Type", JSON);
        r.respond(202, headers, state(call.id));
    }

    private static byte[] state(String id) {
        return ("{\"call\":\"" + id + "\",\"state\":\"held\"}").getBytes(StandardCharsets.UTF_8);
    }

    private void look(HttpExchange r, String id, int wait) {
        deferred.tick(now.get());
        switch (deferred.status(id)) {
            case UNKNOWN -> refuse(r, new ProblemDetails(404, "unknown-call",
                "no deferred call is called " + InvokeRequest.brief(id)), null);
            case GONE -> refuse(r,
                new ProblemDetails(410, "result-gone", "the result of " + id + " is kept no longer"), null);
            case ENDED -> replyEnded(r, deferred.find(id));
            default -> {
                DeferredResults.Entry e = deferred.find(id);
                Consumer<DeferredResults.Entry> waiter = x -> replyEnded(r, x);
                if (wait == 0 || !deferred.await(e, waiter)) {
                    replyHeld(r, id);
                    return;
                }
                r.attachment = (Runnable) () -> deferred.stopAwaiting(e, waiter);
                TimerThread.EXECUTOR.schedule(() -> events.accept(c -> {
                    deferred.stopAwaiting(e, waiter);
                    replyHeld(r, id);
                }), wait, TimeUnit.SECONDS);
            }
        }
    }

    private static void replyHeld(HttpExchange r, String id) {
        Map<String, String> headers = headers(id, null);
        headers.put("Location", "/v1/calls/" + id);
        headers.put("Content-Type", JSON);
        r.respond(202, headers, state(id));
    }

    private void replyEnded(HttpExchange r, DeferredResults.Entry e) {
        Response a = e.response();
        reply(r, a == null ? Response.failed() : a, deferred.id(e), null,
            e.request() == null ? null : e.request().shedBy);
    }

    private void leave(HttpExchange r, String id, RouterCore core) {
        deferred.tick(now.get());
        DeferredResults.Entry e = deferred.find(id);
        if (e == null) {
            look(r, id, 0);
            return;
        }
        if (!e.isEnded() && e.request().state() == PendingRequest.State.PENDING) {
            core.clientLeft(e.request());
            held.decrementAndGet();
        }
        deferred.forget(e);
        r.respond(204, headers(id, null), new byte[0]);
    }

    // ------------------------------------------------------------------ answers

    private static Map<String, String> headers(String id, String echo) {
        Map<String, String> h = new HashMap<>();
        if (id != null) { h.put("Switchgap-Id", id); }
        if (echo != null) { h.put("Switchgap-Call", echo); }
        return h;
    }

    static void refuse(HttpExchange r, ProblemDetails p, String echo) {
        Map<String, String> h = headers(null, echo);
        h.put("Content-Type", ProblemDetails.TYPE);
        if (p.members().get("end") != null) {
            h.put("Switchgap-End", String.valueOf(p.members().get("end")));
        }
        r.respond(p.status(), h, p.bytes());
    }

    private static void reply(HttpExchange r, Response a, String id, String echo, ServiceLevel met) {
        Map<String, String> h = headers(id, echo);
        if (met != null) { h.put("Switchgap-Level", YamlDocument.word(met)); }
        switch (a.kind()) {
            case SUCCEEDED -> {
                h.putAll(a.headers());
                h.put("Switchgap-End", "finished");
                r.respond(a.status(), h, a.body());
            }
            case REJECTED -> {
                Map<String, Object> members = new LinkedHashMap<>();
                members.put("end", "pushed-back");
                members.put("repeat_harmless", true);
                if (met != null) { members.put("level", YamlDocument.word(met)); }
                if (a.retryAfter() != null) {
                    members.put("come_back_ms", a.retryAfter().toMillis());
                    h.put("Retry-After", String.valueOf((a.retryAfter().toMillis() + 999) / 1000));
                    h.put("Switchgap-Come-Back", String.valueOf(a.retryAfter().toMillis()));
                }
                problem(r, h,
                    new ProblemDetails(503, "pushed-back", "not done; trying again is harmless", members));
            }
            default -> problem(r, h, new ProblemDetails(504, "killed", "no promise is made about its effect",
                Map.of("end", "killed", "repeat_harmless", false)));
        }
    }

    private static void problem(HttpExchange r, Map<String, String> h, ProblemDetails p) {
        h.put("Switchgap-End", p.kind());
        h.put("Content-Type", ProblemDetails.TYPE);
        r.respond(p.status(), h, p.bytes());
    }
}
