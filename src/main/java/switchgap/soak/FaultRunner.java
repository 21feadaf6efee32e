package switchgap.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import switchgap.soak.FaultPlan.Fault;
import switchgap.soak.SoakRecords.Span;
import switchgap.soak.SystemCallFaults.Call;
import switchgap.soak.SystemCallFaults.ErrorNumber;
import switchgap.soak.WorkerEmulator.Misbehaviour;

/** Begins and ends faults, each on a thread of its own. */
final class FaultRunner {
    /** Clients go on sending for so long after SIGTERM; the platform's own figure is 0.6 s. */
    private static final int ROTATION_MILLIS = 500;
    /** How long the old address of a moved event stream stays open. */
    private static final int OLD_FEED_MILLIS = 1500;
    private static final int MAX_ROUTERS_AT_ONCE = 4;
    private static final int STAYING_CLIENTS = 250;
    private static final int FLOOD_REQUESTS = 300;
    private static final int ACCEPT_DELAY_MILLIS = 200;
    private static final int SOME_CALLS = 7;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long[] WALL_CLOCK_STEPS_MILLIS = {1000, -1000, 3_600_000, -3_600_000};

    private final List<RouterProcess> routers;
    private final EmulatedFleet fleet;
    private final SoakRecords records;
    private final ActiveFaults active;
    private FeedEmulator feed;

    FaultRunner(List<RouterProcess> routers, EmulatedFleet fleet, FeedEmulator feed, SoakRecords records,
        ActiveFaults active) {
        this.routers = routers;
        this.fleet = fleet;
        this.feed = feed;
        this.records = records;
        this.active = active;
    }

    /** Plays a fault from its begin to its end. */
    void play(Fault fault) {
        active.begin(fault.kind());
        try {
            play(fault, new Random(fault.draw()));
        } catch (IOException e) {
            records.processFaults.add(fault + " was not played: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            active.end(fault.kind());
        }
    }

    private void play(Fault fault, Random random) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case ROUTER_TERM -> term(router(random));
            case ROUTER_KILL -> kill(random);
            case ROUTER_PAUSE -> pause(router(random), fault.lengthMillis());
            case FEED_MOVED -> moveFeed();
            case FEED_SILENT -> silenceFeed(fault.lengthMillis());
            case FEED_CUT -> cutFeed();
            case FEED_WHOLE_LIST -> fleet.tellAll();
            case WORKER_REPLACED -> replaceWorker(random, fault.lengthMillis());
            case WORKER_HANGS -> misbehave(random, fault, Misbehaviour.HANGS);
            case WORKER_REJECTS -> misbehave(random, fault, Misbehaviour.REJECTS);
            case WORKER_RESETS -> misbehave(random, fault, Misbehaviour.RESETS);
            case WORKER_SPOILS_ANSWERS -> misbehave(random, fault, Misbehaviour.SPOILS_ANSWERS);
            case WORKER_ANSWERS_TWICE -> misbehave(random, fault, Misbehaviour.ANSWERS_TWICE);
            case WORKER_CLOSES -> fleet.serving(random.nextInt()).closeConnections();
            case WORKER_ACCEPTS_LATE -> acceptLate(random, fault.lengthMillis());
            case CLIENT_STAYS -> stay(router(random), fault.lengthMillis());
            case CLIENT_FLOOD -> flood(router(random), fault.lengthMillis());
            case ACCEPT_FAILS -> failCalls(fault, random, Call.ACCEPT, ErrorNumber.ENFILE, 1);
            case CONNECT_FAILS -> failCalls(fault, random, Call.CONNECT, ErrorNumber.EADDRNOTAVAIL, 2);
            case SOCKET_FAILS -> failCalls(fault, random, Call.SOCKET, ErrorNumber.EMFILE, 2);
            case READ_INTERRUPTED -> failCalls(fault, random, Call.READ, ErrorNumber.EINTR, SOME_CALLS);
            case WRITE_INTERRUPTED -> failCalls(fault, random, Call.WRITE, ErrorNumber.EINTR, SOME_CALLS);
            case READ_SHORT -> failCalls(fault, random, Call.READ, ErrorNumber.SHORT, SOME_CALLS);
            case WRITE_SHORT -> failCalls(fault, random, Call.WRITE, ErrorNumber.SHORT, SOME_CALLS);
            case WALL_CLOCK_STEP -> stepWallClock(random);
            default -> Thread.sleep(fault.lengthMillis()); // clients play it while it is on
        }
    }

    private RouterProcess router(Random random) {
        return routers.get(random.nextInt(routers.size()));
    }

    private void term(RouterProcess router) throws IOException, InterruptedException {
        synchronized (router) {
            if (!router.inRotation) {
                return; // it is being restarted
            }
            router.signal("TERM");
            Thread.sleep(ROTATION_MILLIS);
            router.inRotation = false;
            router.awaitStopped();
            restart(router);
        }
    }

    private void kill(Random random) throws IOException, InterruptedException {
        for (int i = random.nextInt(MAX_ROUTERS_AT_ONCE); i >= 0; i--) {
            RouterProcess router = router(random);
            synchronized (router) {
                if (router.inRotation) {
                    Span span = new Span(router.index, System.nanoTime());
                    records.kills.add(span);
                    router.signal("KILL");
                    router.inRotation = false;
                    router.awaitKilled();
                    restart(router);
                    span.endNanos = System.nanoTime();
                }
            }
        }
    }

    private void restart(RouterProcess router) throws IOException, InterruptedException {
        router.faults.clear();
        router.configure(currentFeed().address(), fleet.events);
        router.start();
        router.awaitReady();
    }

    private synchronized FeedEmulator currentFeed() {
        return feed;
    }

    private void pause(RouterProcess router, int millis) throws IOException, InterruptedException {
        synchronized (router) {
            if (!router.inRotation) {
                return;
            }
            Span span = new Span(router.index, System.nanoTime());
            records.pauses.add(span);
            router.signal("STOP");
            Thread.sleep(millis);
            router.signal("CONT");
            span.endNanos = System.nanoTime();
        }
    }

    private void moveFeed() throws IOException, InterruptedException {
        FeedEmulator old = currentFeed();
        FeedEmulator moved = new FeedEmulator(fleet.events);
        synchronized (this) {
            feed = moved;
        }
        Span outage = outage();
        for (RouterProcess router : routers) {
            synchronized (router) {
                if (router.inRotation) {
                    router.configure(moved.address(), fleet.events);
                    router.signal("HUP");
                }
            }
        }
        Thread.sleep(OLD_FEED_MILLIS);
        old.close();
        outage.endNanos = System.nanoTime();
    }

    private Span outage() {
        Span outage = new Span(-1, System.nanoTime());
        records.feedOutages.add(outage);
        return outage;
    }

    private void silenceFeed(int millis) throws InterruptedException {
        FeedEmulator silenced = currentFeed();
        Span outage = outage();
        silenced.silence(true);
        Thread.sleep(millis);
        silenced.silence(false);
        outage.endNanos = System.nanoTime();
    }

    private void cutFeed() {
        Span outage = outage();
        currentFeed().cut();
        outage.endNanos = System.nanoTime();
    }

    private void replaceWorker(Random random, int millis) throws IOException, InterruptedException {
        WorkerEmulator old = fleet.replace(random.nextInt());
        Thread.sleep(millis);
        fleet.remove(old);
    }

    private void misbehave(Random random, Fault fault, Misbehaviour how) throws InterruptedException {
        WorkerEmulator worker = fleet.serving(random.nextInt());
        worker.misbehave(how);
        Thread.sleep(fault.lengthMillis());
        worker.misbehave(Misbehaviour.NONE);
    }

    private void acceptLate(Random random, int millis) throws InterruptedException {
        WorkerEmulator worker = fleet.serving(random.nextInt());
        worker.delayAccepts(ACCEPT_DELAY_MILLIS);
        worker.closeConnections();
        Thread.sleep(millis);
        worker.delayAccepts(0);
    }

    private static void stay(RouterProcess router, int millis) throws IOException, InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < STAYING_CLIENTS && router.inRotation; i++) {
                Socket socket = new Socket();
                sockets.add(socket);
                socket.connect(new InetSocketAddress("127.0.0.1", router.port), CONNECT_TIMEOUT_MILLIS);
            }
        } catch (IOException e) {
            Thread.sleep(1); // the router takes no more, or has gone
        }
        Thread.sleep(millis);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static void flood(RouterProcess router, int millis) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", router.port), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(millis);
            for (int i = 1; i <= FLOOD_REQUESTS; i++) {
                Map<String, String> fields = Map.of("service", "again", "ref",
                    String.format("f%015x", System.nanoTime() & 0xfffffffffffL), "allow", "300", "project",
                    "shop",
                    "lookup", String.format("%016x", i));
                socket.getOutputStream().write(
                    BinaryThrift.submit(i, fields, "f".getBytes(StandardCharsets.US_ASCII)));
            }
            InputStream in = socket.getInputStream();
            byte[] ignored = new byte[1 << 16];
            for (int read = in.read(ignored); read > 0; read = in.read(ignored)) {
                Thread.sleep(1);
            }
        } catch (IOException e) {
            return; // the router closed the connection, or said all that it had to
        }
    }

    private void failCalls(Fault fault, Random random, Call call, ErrorNumber error, int every)
        throws InterruptedException {
        RouterProcess router = router(random);
        Span outage = new Span(router.index, System.nanoTime());
        if (call == Call.ACCEPT) {
            records.acceptOutages.add(outage);
        }
        router.faults.inject(call, error, every);
        Thread.sleep(fault.lengthMillis());
        router.faults.inject(call, error, 0);
        outage.endNanos = System.nanoTime();
    }

    private void stepWallClock(Random random) {
        long step = WALL_CLOCK_STEPS_MILLIS[random.nextInt(WALL_CLOCK_STEPS_MILLIS.length)];
        router(random).faults.setWallClockOffset(Duration.ofMillis(step));
    }
}
