package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import switchgap.config.PropertyRouterSettings;
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EventStreamClient;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnection;
import switchgap.net.NetworkTransport;
import switchgap.protocol.resp.RespWorkerTransport;
import switchgap.protocol.thrift.ThriftServer;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;

/** A running router on the platform: one more way in and out of the core, under the module and nothing else. */
final class PlatformRouter implements AutoCloseable {
    // Of the descriptors, one in so many. A quarter is nobody's: files, selectors, the listener and the control feed.
    private static final int CLIENT_SHARE = 3;
    private static final int CROWD_SHARE = 12;      // clients that came while the loop had no time to make room
    private static final int WORKER_SHARE = 3;
    private static final int MOST_LINKS = 6;        // to one worker, descriptors allowing
    private static final int MOST_FUNCTIONS = 4096; // known at a time
    private static final int MOST_CALLS = 4096;     // held at a time
    private static final int MOST_WAITING = 256;    // exchanges at one worker while a connection to it is opened
    private static final int BYTE_SHARE = 16;       // of the heap, for what clients sent and for unread answers
    private static final Duration ARRIVAL = Duration.ofMillis(2000);    // for a message to come whole
    private static final Duration SWEEP = Duration.ofMillis(200);
    // After SIGTERM new connections come for 0.4 s and calls for 0.2 s more; SIGKILL comes no sooner than the longest time
    // limit, or 3 s where it is shorter, and 0.7 s more.
    private static final Duration STILL_COME = Duration.ofMillis(1000);
    private static final Duration LEAST_LONGEST = Duration.ofMillis(3000);
    private static final Duration ANSWERED_BY = Duration.ofMillis(500); // past the longest: all is answered
    private static final Duration LOOK = Duration.ofMillis(20);
    private static final int QUIET = 3; // looks one after the other that find nothing under way
    private final RateLimitedLog log;
    private final NetworkTransport net;
    private final EventLoop loop;
    private final RespWorkerTransport workers;
    private final ThriftServer door;
    private final EventStreamClient feed;
    private final Duration longest;

    PlatformRouter(PlatformConfig g, RateLimitedLog log) throws IOException {
        this.log = log;
        PropertyRouterSettings terms = g.terms();
        net = new NetworkTransport(1, "net");
        AtomicReference<RespWorkerTransport> made = new AtomicReference<>();
        RespWorkerTransport.ConnectionLimits bounds = new RespWorkerTransport.ConnectionLimits(
            Math.max(1, g.sockets() / WORKER_SHARE), MOST_LINKS, MOST_WAITING, terms.attemptsPerConnection(),
            terms.connectTimeout(), terms.connectionIdleTimeout().dividedBy(2),
            terms.reportsConcurrency());
        loop = new EventLoop(l -> {
            made.set(new RespWorkerTransport(net, bounds, names(terms), terms.loadCommandTimeout(),
                terms.connectTimeout(), l::now, l::post));
            return new RouterCore(terms, g.seed(), made.get(),
                new CoreLimits(terms.loadCommandTimeout(), terms.connectTimeout(), MOST_FUNCTIONS));
        }, "loop", late -> {}, this::failed);
        workers = made.get();
        int bytes = (int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / BYTE_SHARE);
        door = new ThriftServer(terms, terms.namedIndices("Lanes"), terms.namedIndices("Tenants"),
            new ThriftServer.ConnectionLimits(Math.max(1, g.sockets() / CLIENT_SHARE),
                Math.max(1, g.sockets() / CROWD_SHARE), bytes / 4,
                bytes, Math.min(terms.maxPendingRequests(), MOST_CALLS), ARRIVAL),
            loop::now, loop::post, log::line);
        longest = terms.longestTimeout();
        feed = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16), g.lastEvent(),
            g.book(), this::list, log::line);
        g.known().forEach(this::list);
        CountDownLatch known = new CountDownLatch(1);
        loop.post(c -> {
            sweep(c);
            known.countDown();
        });
        loop.start();
        try {
            known.await();
        } catch (InterruptedException x) {
            Thread.currentThread().interrupt();
        }
        door.listen(net, g.listen().getHostString(), g.listen().getPort());
        feed.follow(g.feed());
        door.good(true);
        log.line("router " + g.name() + " serves at " + g.listen().getHostString() + ":" + door.port());
    }

    private static String[] names(PropertyRouterSettings terms) {
        String[] names = new String[terms.requestClassCount()];
        terms.namedIndices("Lanes").forEach((name, at) -> names[at] = name);
        return names;
    }

    int port() { return door.port(); }

    /** Goes on with the feed at another address. */
    void follow(InetSocketAddress to) { feed.follow(to); }

    private void list(EndpointListEvent e) {
        if (e.updates() != null) { loop.postUrgent(c -> c.endpointListReceived(e.complete(), e.updates())); }
    }

    private void sweep(RouterCore c) {
        door.sweep(c.now());
        workers.sweep();
        c.schedule(c.now().plus(SWEEP), () -> sweep(c));
    }

    private void failed(Throwable e) { ServeCommand.failed(log, "a round failed", e); }

    /**
     * Is no longer good, goes on taking what may still come, and ends once nothing is under way: no call held, no message
     * half come or unread by the loop, no answer unwritten. Whatever comes meanwhile is answered before SIGKILL can come.
     */
    void stop() throws InterruptedException {
        Duration by = loop.now().plus(longest.compareTo(LEAST_LONGEST) < 0 ? LEAST_LONGEST : longest).plus(
            ANSWERED_BY);
        door.good(false);
        Thread.sleep(STILL_COME.toMillis());
        for (int quiet = 0; quiet < QUIET && loop.now().compareTo(by) < 0;) {
            Thread.sleep(LOOK.toMillis());
            quiet = held()[3] > 0 ? 0 : quiet + 1;
        }
        log.line("stopped, " + held()[0] + " calls held");
        onLoop(c -> door.endAll(c));
        Thread.sleep(LOOK.toMillis()); // for the last of them to be written
        close();
    }

    /** Connections of clients as the selector knows them: what it has told of them may still wait for the loop. */
    int connected() {
        return door.connected();
    }

    /** Calls held, connections of clients, connections to workers, client connections with anything under way. */
    int[] held() throws InterruptedException {
        int[] held = new int[4];
        onLoop(c -> {
            held[0] = door.held();
            held[1] = door.connections();
            held[2] = workers.connections();
            held[3] = door.busy();
        });
        return held;
    }

    /** Runs it in a round, and waits for that. */
    void onLoop(Consumer<RouterCore> event) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.post(c -> {
            event.accept(c);
            done.countDown();
        });
        done.await();
    }

    @Override public void close() {
        feed.close();
        door.close();
        loop.stop();
        net.close();
    }
}
