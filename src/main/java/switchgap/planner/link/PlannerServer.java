package switchgap.planner.link;

import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.FramedConnection;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;

/**
 * The edge's end of the link: takes one planner at a time, after a handshake. Whoever speaks another version, is no
 * planner, is for another router, or comes while one is linked is refused by name; calls are undisturbed.
 */
public final class PlannerServer implements AutoCloseable {
    /** Hears of the planner; on other threads than the edge's. */
    public interface Listener {
        void plannerConnected(long epoch);

        void plannerDisconnected(long epoch);

        void planReceived(LoadPlan p);
    }

    private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);
    private static final long SILENCE = 1_000_000_000L;

    /** A link that was greeted. */
    private static final class PlannerSession {
        final FramedConnection link;
        final long epoch;
        volatile long heard = System.nanoTime();

        PlannerSession(FramedConnection link, long epoch) {
            this.link = link;
            this.epoch = epoch;
        }
    }

    private final int router;
    private final Listener heard;
    private final AtomicReference<PlannerSession> planner = new AtomicReference<>();
    private final switchgap.net.TcpConnection.Server door;
    private final ScheduledFuture<?> watch;
    private long epochs = System.currentTimeMillis() * 1000; // past those of any process before it

    public PlannerServer(NetworkTransport net, String host, int port, int router, Listener heard)
        throws IOException {
        this.router = router;
        this.heard = heard;
        door = FramedConnection.listen(net, host, port, PlannerMessageCodec.MOST, new FrameListener());
        watch = TimerThread.EXECUTOR.scheduleAtFixedRate(() -> {
            PlannerSession p = planner.get();
            if (p != null && System.nanoTime() - p.heard > SILENCE) { p.link.close("the planner is silent"); }
        }, 250, 250, TimeUnit.MILLISECONDS);
    }

    public int port() { return door.port(); }

    /** Tells the planner what waits; false where none is linked or it does not keep up: what is told next makes up for it. */
    public boolean send(LoadBacklog t) {
        PlannerSession p = planner.get();
        return p != null && p.epoch == t.epoch() && p.link.send(PlannerMessageCodec.encode(t));
    }

    private final class FrameListener implements FramedConnection.Listener {
        /** Who connects and says nothing is not kept. */
        @Override public void opened(FramedConnection l) {
            TimerThread.EXECUTOR.schedule(() -> {
                PlannerSession p = planner.get();
                if (p == null || p.link != l) { l.close("no handshake within a second"); }
            }, SILENCE, TimeUnit.NANOSECONDS);
        }

        @Override public void frame(FramedConnection l, byte[] bytes) {
            Object m;
            try {
                m = PlannerMessageCodec.decode(bytes);
            } catch (IOException e) {
                refuse(l, "unreadable: " + e.getMessage().lines().findFirst().orElse(""));
                return;
            }
            PlannerSession p = planner.get();
            boolean greeted = p != null && p.link == l;
            if (m instanceof PlannerMessageCodec.Hello h && !greeted) {
                greet(l, h);
            } else if (!greeted) {
                refuse(l, "a message before the handshake");
            } else {
                p.heard = System.nanoTime();
                if (m instanceof LoadPlan x) {
                    heard.planReceived(x);
                } else if (!(m instanceof PlannerMessageCodec.Heartbeat)) {
                    refuse(l, "no message for an edge");
                }
            }
        }

        @Override public void closed(FramedConnection l, String why) {
            PlannerSession p = planner.get();
            if (p != null && p.link == l && planner.compareAndSet(p, null)) {
                LOG.warn("router {}: planner gone: {}; orders go out as they come", router, why);
                heard.plannerDisconnected(p.epoch);
            }
        }
    }

    private synchronized void greet(FramedConnection l, PlannerMessageCodec.Hello h) {
        if (h.version() != PlannerMessageCodec.VERSION) {
            refuse(l, "version " + h.version() + ", this edge speaks " + PlannerMessageCodec.VERSION);
            return;
        }
        if (!h.side().equals("planner")) { refuse(l, "a " + h.side() + ", no planner"); return; }
        if (h.router() != router) {
            refuse(l, "a planner for router " + h.router() + ", this is " + router);
            return;
        }
        PlannerSession mine = new PlannerSession(l, ++epochs);
        if (!planner.compareAndSet(null, mine)) { refuse(l, "a planner is linked already"); return; }
        l.send(PlannerMessageCodec.encode(
            new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "edge", router, mine.epoch)));
        LOG.info("router {}: planner linked, epoch {}", router, mine.epoch);
        heard.plannerConnected(mine.epoch);
    }

    private void refuse(FramedConnection l, String why) {
        LOG.warn("router {}: planner refused: {}", router, why);
        l.send(PlannerMessageCodec.encode(new PlannerMessageCodec.Refused(why)));
        TimerThread.EXECUTOR.schedule(() -> l.close("refused: " + why), 100, TimeUnit.MILLISECONDS);
    }

    @Override public void close() {
        watch.cancel(false);
        door.close();
        PlannerSession p = planner.get();
        if (p != null) { p.link.close("the edge stops"); }
    }
}
