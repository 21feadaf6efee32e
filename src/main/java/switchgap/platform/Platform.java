package switchgap.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import switchgap.controlfeed.Event;
import switchgap.controlfeed.Follow;
import switchgap.loop.Loop;
import switchgap.resp.Workers;
import switchgap.router.Core;
import switchgap.stated.StatedTerms;
import switchgap.thrift.Door;
import switchgap.wire.HttpLink;
import switchgap.wire.Net;

/** A running router on the platform: one more way in and out of the core, under the module and nothing else. */
final class Platform implements AutoCloseable {
    private static final int CLIENT_SHARE = 3;      // of the descriptors, one in so many
    private static final int WORKER_SHARE = 3;
    private static final int MOST_LINKS = 6;        // to one worker, descriptors allowing
    private static final int MOST_FUNCTIONS = 4096; // known at a time
    private static final int MOST_CALLS = 4096;     // held at a time
    private static final int MOST_WAITING = 256;    // exchanges at one worker while a connection to it is opened
    private static final int BYTE_SHARE = 16;       // of the heap, for what clients sent and for unread answers
    private static final Duration ARRIVAL = Duration.ofMillis(2000);    // for a message to come whole
    private static final Duration SWEEP = Duration.ofMillis(200);
    private static final Duration STILL_COME = Duration.ofMillis(1000); // after SIGTERM, calls may come for 0.6 s
    private static final Duration BEYOND = Duration.ofMillis(500);      // past the longest time limit
    private final Log log;
    private final Net net;
    private final Loop loop;
    private final Workers workers;
    private final Door door;
    private final Follow feed;
    private final Duration longest;

    Platform(Given g, Log log) throws IOException {
        this.log = log;
        StatedTerms terms = g.terms();
        net = new Net(1, "net");
        AtomicReference<Workers> made = new AtomicReference<>();
        int most = Math.max(2, Math.min(MOST_LINKS, g.sockets() / WORKER_SHARE / Math.max(1, workersOf(g))));
        Workers.Bounds bounds = new Workers.Bounds(most, MOST_WAITING, terms.multiplex(), terms.connectWithin(), terms.idle().dividedBy(2),
            terms.tellsCrowd());
        loop = new Loop(l -> {
            made.set(new Workers(net, bounds, names(terms), terms.orderLimit(), terms.connectWithin(), l::now, l::post));
            return new Core(terms, g.seed(), made.get(), terms.orderLimit(), terms.connectWithin(), MOST_FUNCTIONS);
        }, "loop", late -> { }, this::failed);
        workers = made.get();
        int bytes = (int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / BYTE_SHARE);
        door = new Door(terms, terms.names("Lanes"), terms.names("Tenants"), new Door.Bounds(Math.max(1, g.sockets() / CLIENT_SHARE), bytes / 4,
            bytes, Math.min(terms.mostHeld(), MOST_CALLS), ARRIVAL), loop::now, loop::post, log::line);
        longest = terms.longestLimit();
        feed = new Follow(new HttpLink.Opener(net, null, 1 << 16), g.lastEvent(), g.book(), this::list, log::line);
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

    private static int workersOf(Given g) {
        return g.known().stream().mapToInt(e -> e.workers() == null ? 0 : e.workers().size()).max().orElse(1);
    }

    private static String[] names(StatedTerms terms) {
        String[] names = new String[terms.workloads()];
        terms.names("Lanes").forEach((name, at) -> names[at] = name);
        return names;
    }

    int port() { return door.port(); }

    /** Goes on with the feed at another address. */
    void follow(InetSocketAddress to) { feed.follow(to); }

    private void list(Event e) {
        if (e.workers() != null) { loop.postFirst(c -> c.list(e.whole(), e.workers())); }
    }

    private void sweep(Core c) {
        door.sweep(c.now());
        workers.sweep();
        c.later(c.now().plus(SWEEP), () -> sweep(c));
    }

    private void failed(RuntimeException e) {
        StackTraceElement[] at = e.getStackTrace();
        log.line("a round failed, the router stops: " + e + (at.length > 0 ? " at " + at[0] : ""));
        Runtime.getRuntime().halt(70);
    }

    /** Is no longer good, goes on taking what may still come, answers all that is held, then closes. */
    void stop() throws InterruptedException {
        door.good(false);
        long began = System.nanoTime();
        Thread.sleep(STILL_COME.toMillis());
        while (held()[0] > 0 && System.nanoTime() - began < longest.plus(STILL_COME).plus(BEYOND).toNanos()) { Thread.sleep(20); }
        log.line("stopped, " + held()[0] + " calls held");
        close();
    }

    /** Calls held, connections of clients, connections to workers. */
    int[] held() throws InterruptedException {
        int[] held = new int[3];
        CountDownLatch looked = new CountDownLatch(1);
        loop.post(c -> {
            held[0] = door.held();
            held[1] = door.connections();
            held[2] = workers.connections();
            looked.countDown();
        });
        looked.await();
        return held;
    }

    @Override public void close() {
        feed.close();
        door.close();
        loop.stop();
        net.close();
    }
}
