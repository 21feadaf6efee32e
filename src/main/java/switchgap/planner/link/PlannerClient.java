package switchgap.planner.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.FramedConnection;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadScheduler;

/** The planner's end: links to its edge, again and again with back-off, answers each word of what waits with a plan. */
public final class PlannerClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PlannerClient.class);
    private static final long BEAT = 200;
    private static final long LONGEST_WAIT = 2000;
    private final FramedConnection.Factory opener;
    private final InetSocketAddress edge;
    private final int router;
    private final LoadScheduler sequence = new LoadScheduler();
    private final ScheduledFuture<?> beat;
    private volatile FramedConnection link;
    private volatile boolean greeted;
    private volatile boolean closed;
    private long wait = 50;
    private long beats;

    public PlannerClient(NetworkTransport net, InetSocketAddress edge, int router) {
        this.opener = new FramedConnection.Factory(net, PlannerMessageCodec.MOST, new FrameListener());
        this.edge = edge;
        this.router = router;
        beat = TimerThread.EXECUTOR.scheduleAtFixedRate(() -> {
            FramedConnection l = link;
            if (l != null && greeted) {
                l.send(PlannerMessageCodec.encode(new PlannerMessageCodec.Heartbeat(beats++)));
            }
        }, BEAT, BEAT, TimeUnit.MILLISECONDS);
        open();
    }

    public boolean linked() { return greeted; }

    private void open() {
        if (!closed) { opener.connect(edge, this::again); }
    }

    private synchronized void again() {
        greeted = false;
        link = null;
        if (closed) { return; }
        TimerThread.EXECUTOR.schedule(this::open, wait, TimeUnit.MILLISECONDS);
        wait = Math.min(LONGEST_WAIT, wait * 2);
    }

    private final class FrameListener implements FramedConnection.Listener {
        @Override public void opened(FramedConnection l) {
            link = l;
            l.send(PlannerMessageCodec.encode(
                new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "planner", router, 0)));
        }

        @Override public void frame(FramedConnection l, byte[] bytes) {
            try {
                Object m = PlannerMessageCodec.decode(bytes);
                if (m instanceof PlannerMessageCodec.Hello h && h.version() == PlannerMessageCodec.VERSION
                    && h.side().equals("edge")) {
                    greeted = true;
                    wait = 50;
                    LOG.info("planner of router {} linked, epoch {}", router, h.epoch());
                } else if (m instanceof PlannerMessageCodec.Refused r) {
                    LOG.error("the edge refuses this planner: {}", r.why());
                    wait = LONGEST_WAIT;
                } else if (m instanceof LoadBacklog t && greeted) {
                    LoadPlan p = sequence.plan(t);
                    if (p != null) { l.send(PlannerMessageCodec.encode(p)); }
                } else {
                    l.close("no message for a planner");
                }
            } catch (IOException e) {
                l.close("unreadable: " + e.getMessage());
            }
        }

        @Override public void closed(FramedConnection l, String why) {
            LOG.warn("planner of router {} has lost its edge: {}", router, why);
            again();
        }
    }

    @Override public void close() {
        closed = true;
        beat.cancel(false);
        FramedConnection l = link;
        if (l != null) { l.close("the planner stops"); }
    }
}
