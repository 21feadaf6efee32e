package switchgap.endpoints;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.HttpClientConnection;
import switchgap.net.TimerThread;
import switchgap.router.RouterCore;

/**
 * Follows the list service by a held request that answers in lines. While the service is away, or tells nonsense,
 * the last good list stays. States: ASKING, FOLLOWING, AWAY (asks again after a pause). A service that says nothing for
 * long is asked anew on a further connection: a connection that is half open sounds like a fleet in which nothing changes.
 */
public final class EndpointListWatcher {
    private enum State { ASKING, FOLLOWING, AWAY, CLOSED }

    private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatcher.class);
    private static final int MOST_LINE = 16 << 20;
    private static final int SILENCE = 20; // pauses without a byte, then it is asked anew
    private final HttpClientConnection.Factory opener;
    private final InetSocketAddress service;
    private final int router;
    private final long born;
    private final Duration again;
    private final ToIntFunction<String> zones;
    private final ToIntFunction<String> kinds;
    private final Consumer<Consumer<RouterCore>> events;
    private State state = State.AWAY;
    private long version = -1;
    private volatile HttpClientConnection link;
    private volatile long heard = System.nanoTime();
    private final ScheduledFuture<?> look;

    /** {@code again}: the pause before asking anew. */
    public EndpointListWatcher(HttpClientConnection.Factory opener, InetSocketAddress service, int router,
        long born, Duration again,
        ToIntFunction<String> zones, ToIntFunction<String> kinds, Consumer<Consumer<RouterCore>> events) {
        this.opener = opener;
        this.service = service;
        this.router = router;
        this.born = born;
        this.again = again;
        this.zones = zones;
        this.kinds = kinds;
        this.events = events;
        look = TimerThread.EXECUTOR.scheduleAtFixedRate(this::look, again.toMillis(), again.toMillis(),
            TimeUnit.MILLISECONDS);
    }

    private synchronized void look() {
        if (state == State.AWAY || state == State.CLOSED
            || System.nanoTime() - heard < SILENCE * again.toNanos()) {
            return;
        }
        state = State.AWAY;
        follow(); // the old connection is closed once there is a new one
    }

    public synchronized void follow() {
        if (state != State.AWAY) { return; }
        state = State.ASKING;
        heard = System.nanoTime();
        opener.connect(service, again.multipliedBy(4), new HttpClientConnection.ConnectCallback() {
            @Override public void connected(HttpClientConnection l) {
                HttpClientConnection old;
                synchronized (EndpointListWatcher.this) {
                    if (state == State.CLOSED) {
                        l.close();
                        return;
                    }
                    old = link;
                    link = l;
                }
                if (old != null) { old.close(); }
                l.send("GET", "/v1/workers?watch=1&router=" + router + "&from=" + version, Map.of(),
                    new byte[0],
                    new LineHandler(l));
            }

            @Override public void failed(String why) { away(why); }
        });
    }

    private synchronized void away(String why) {
        if (state == State.CLOSED) { return; }
        if (state != State.AWAY) { LOG.warn("list service away, the last list stays: {}", why); }
        state = State.AWAY;
        events.accept(RouterCore::endpointListFailed);
        TimerThread.EXECUTOR.schedule(this::follow, again.toMillis(), TimeUnit.MILLISECONDS);
    }

    public synchronized void close() {
        state = State.CLOSED;
        look.cancel(false);
        if (link != null) { link.close(); }
    }

    private final class LineHandler implements HttpClientConnection.ResponseHandler {
        private final HttpClientConnection on;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        LineHandler(HttpClientConnection on) { this.on = on; }

        @Override public boolean bodyPart(byte[] bytes) {
            heard = System.nanoTime();
            for (byte b : bytes) {
                if (b == '\n') {
                    take(line.toString(StandardCharsets.UTF_8));
                    line.reset();
                } else if (line.size() < MOST_LINE) {
                    line.write(b);
                } else {
                    LOG.warn("a list line over {} bytes is refused", MOST_LINE);
                    on.close();
                    return true;
                }
            }
            return true;
        }

        private void take(String text) {
            if (text.isBlank() || on != link) { return; }
            EndpointListLine l;
            try {
                l = EndpointListLine.parse(text, born, zones, kinds);
            } catch (IOException e) {
                LOG.warn("a list was refused, the last one stays: {}", e.getMessage());
                version = -1; // ask for a whole one
                on.close();
                return;
            }
            if (!l.complete() && l.version() != version + 1) {
                LOG.warn("list version {} follows {}: the whole list is asked for", l.version(), version);
                version = -1;
                on.close();
                return;
            }
            synchronized (EndpointListWatcher.this) {
                if (state == State.ASKING) { state = State.FOLLOWING; }
            }
            version = l.version();
            events.accept(c -> c.endpointListReceived(l.complete(), l.updates()));
        }

        @Override public void responded(int status, Map<String, String> headers, byte[] body,
            boolean reusable) {
            on.close();
            ended("the service ended its answer with status " + status);
        }

        @Override public void connectionLost(String why) { ended(why); }

        private void ended(String why) {
            if (on == link) { away(why); } // else a further connection has taken its place
        }
    }
}
