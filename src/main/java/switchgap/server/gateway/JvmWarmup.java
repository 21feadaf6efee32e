package switchgap.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.config.YamlRouterSettings;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.WorkerState;
import switchgap.router.Attempt;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Runs made-up calls through a core of its own and over a door of its own before the router serves. Guards against
 * answers that come late in the first second, while the JVM still interprets the code that must meet time limits.
 */
final class JvmWarmup {
    private static final int CALLS = 3000;
    private static final int ASKS = 600;
    private static final Duration MOST = Duration.ofSeconds(2);

    private JvmWarmup() {}

    static void run(YamlRouterSettings terms, NetworkTransport net) throws IOException {
        decisions(terms);
        sockets(net);
    }

    private static void decisions(YamlRouterSettings terms) {
        List<Consumer<RouterCore>> next = new ArrayList<>();
        WorkerTransport outside = new WorkerTransport() {
            @Override public void startAttempt(Attempt run, Duration allow) {
                next.add(c -> c.attemptEnded(run, AttemptOutcome.SUCCEEDED, new LoadReport(0.2, 1, 0, 0),
                    Response.succeeded(200, Map.of(), new byte[0])));
            }

            @Override public AttemptOutcome abandon(Attempt run) { return AttemptOutcome.TIMED_OUT; }

            @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
                WorkerCommand order) {
                next.add(c -> c.loadCommandEnded(order, AttemptOutcome.SUCCEEDED, copies));
            }

            @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {}

            @Override public void probe(WorkerEntry worker, WorkerCommand order) {
                next.add(c -> c.probeEnded(order, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
            }

            @Override public void abandon(WorkerCommand order) {}

            @Override public void requestEndpointList() {}
        };
        RouterCore core = new RouterCore(terms, 1, outside,
            new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 100));
        List<EndpointUpdate> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(
                new EndpointUpdate("rehearsal-" + i, "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null));
        }
        next.add(c -> c.endpointListReceived(true, list));
        ResponseListener nobody = new ResponseListener() {
            @Override public void responded(PendingRequest c, Response a) {}

            @Override public void deadlineMissed(PendingRequest c, Response late) {}
        };
        long began = System.nanoTime();
        for (int i = 0; i < CALLS && System.nanoTime() - began < MOST.toNanos(); i++) {
            Duration at = Duration.ofMillis(2L * i);
            PendingRequest call = PendingRequest.builder("rehearsal", "rehearsal-" + i % 20,
                at.plus(terms.requestTimeout(i % terms.requestClassCount())), nobody).requestClass(
                    i % terms.requestClassCount()).replica(1, 2).build();
            next.add(c -> c.accept(call));
            List<Consumer<RouterCore>> now = List.copyOf(next);
            next.clear();
            core.tick(at, now);
        }
    }

    private static void sockets(NetworkTransport net) throws IOException {
        try (HttpServer door = new HttpServer(net, ConnectionLimits.DEFAULT,
            r -> r.respond(200, Map.of("Content-Type", "text/plain"),
                r.body))) {
            int port = door.listen("127.0.0.1", 0);
            CountDownLatch done = new CountDownLatch(1);
            new HttpClientConnection.Factory(net, null, 1 << 16).connect(
                new InetSocketAddress("127.0.0.1", port), MOST,
                new HttpClientConnection.ConnectCallback() {
                    @Override public void connected(HttpClientConnection link) { ask(link, ASKS, done); }

                    @Override public void failed(String why) { done.countDown(); }
                });
            done.await(MOST.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void ask(HttpClientConnection link, int left, CountDownLatch done) {
        boolean took = left > 0
            && link.send("POST", "/rehearsal", Map.of("Content-Type", "text/plain"), new byte[64],
                new HttpClientConnection.ResponseHandler() {
                    @Override public void responded(int s, Map<String, String> h, byte[] b,
                        boolean reusable) {
                        if (reusable) {
                            ask(link, left - 1, done);
                        } else {
                            done.countDown();
                        }
                    }

                    @Override public void connectionLost(String why) { done.countDown(); }
                });
        if (!took) {
            link.close();
            done.countDown();
        }
    }
}
