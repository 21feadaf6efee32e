package switchgap.endpoints;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.net.HttpClientConnection;
import switchgap.net.TimerThread;
import switchgap.protocol.sse.ServerSentEventDecoder;

/**
 * Follows the control feed from a number on. Events are handed on once each and in order; whatever befalls the feed, the
 * last list stays in force. States: ASKING, FOLLOWING, AWAY (asks again after a pause), CLOSED. A feed that says nothing
 * for longer than two of its comments is asked anew on a further connection: one that is half open sounds like a fleet in
 * which nothing changes. The connection that told last goes on telling until its successor does.
 */
public final class EventStreamClient implements AutoCloseable {
    private enum State { ASKING, FOLLOWING, AWAY, CLOSED }

    private static final int MOST_EVENT = 1 << 20;
    private static final Duration SILENCE = Duration.ofMillis(2300); // two comments, one each second, and a little
    private static final Duration LOOK = Duration.ofMillis(200);
    private static final Duration CONNECT = Duration.ofMillis(1000);
    private static final Duration PAUSE = Duration.ofMillis(100);    // doubled with each try, up to the silence
    private static final Duration LASTS = Duration.ofMillis(500);    // following for so long, it is well again
    private final HttpClientConnection.Factory opener;
    private final EndpointListEvent.NameDirectory book;
    private final Consumer<EndpointListEvent> events;
    private final Consumer<String> log;
    private final ScheduledFuture<?> look;
    private InetSocketAddress feed;
    private State state = State.AWAY;
    private long last;
    private long gap;      // the number that a gap was met at: met again, it is all that there is
    private int tries;
    private long turn;     // of the connection asked for last
    private long telling;  // of the one that told last, until a later one does: what others say counts for nothing
    private HttpClientConnection link; // the one asked last
    private HttpClientConnection teller;
    private long heard;

    /** {@code last}: the number of the last event known already. */
    public EventStreamClient(HttpClientConnection.Factory opener, long last,
        EndpointListEvent.NameDirectory book, Consumer<EndpointListEvent> events, Consumer<String> log) {
        this.opener = opener;
        this.last = last;
        this.book = book;
        this.events = events;
        this.log = log;
        look = TimerThread.EXECUTOR.scheduleAtFixedRate(this::look, LOOK.toMillis(), LOOK.toMillis(),
            TimeUnit.MILLISECONDS);
    }

    /** Begins, or goes over to another address from the last number on. */
    public synchronized void follow(InetSocketAddress to) {
        if (state == State.CLOSED) { return; }
        feed = to;
        tries = 0;
        ask();
    }

    private void look() {
        try {
            lookFor();
        } catch (RuntimeException e) { // a timer's task that throws never runs again
            log.accept("control feed: " + e);
        }
    }

    private synchronized void lookFor() {
        boolean silent = (state == State.ASKING || state == State.FOLLOWING)
            && System.nanoTime() - heard > SILENCE.toNanos();
        if (silent) {
            log.accept("control feed silent, it is asked anew");
            ask();
        }
    }

    private synchronized void ask() {
        if (state == State.CLOSED) { return; }
        state = State.ASKING;
        heard = System.nanoTime();
        long mine = ++turn;
        opener.connect(feed, CONNECT, new HttpClientConnection.ConnectCallback() {
            @Override public void connected(HttpClientConnection l) { asked(mine, l); }

            @Override public void failed(String why) { away(mine, why); }
        });
    }

    private synchronized void asked(long mine, HttpClientConnection l) {
        if (mine != turn || state == State.CLOSED) {
            l.close();
            return;
        }
        if (link != null && link != teller) { link.close(); }
        link = l;
        l.send("GET", "/v1/events",
            Map.of("Last-Event-ID", String.valueOf(last), "Accept", "text/event-stream"), new byte[0],
            new StreamHandler(mine));
    }

    private synchronized void away(long mine, String why) {
        if (state == State.CLOSED) { return; }
        if (mine == telling) {
            telling = 0;
            teller.close();
            teller = null;
        }
        if (mine != turn) { return; }
        if (tries == 0) { log.accept("control feed away, the last list stays: " + why); }
        Duration pause = tries == 0 ? Duration.ZERO : PAUSE.multipliedBy(1L << Math.min(tries - 1, 4));
        tries++;
        state = State.AWAY;
        long then = ++turn;
        HttpClientConnection old = link;
        link = null;
        if (old != null && old != teller) { old.close(); }
        TimerThread.EXECUTOR.schedule(() -> again(then), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void again(long mine) {
        if (mine == turn && state == State.AWAY) { ask(); }
    }

    /** Whether this connection is the one asked last, or still the only one that tells. */
    private boolean counts(long mine) {
        return state != State.CLOSED && (mine == turn || mine == telling);
    }

    private synchronized void event(long mine, String text) {
        if (!counts(mine)) { return; }
        try {
            EndpointListEvent e = EndpointListEvent.parse(text, book);
            if (e.sequence() < last || e.sequence() == last && !e.complete()) { return; } // told before
            if (e.sequence() > last + 1 && !e.complete() && gap != e.sequence()) {
                gap = e.sequence();
                away(mine, "event " + e.sequence() + " follows " + last);
                return;
            }
            last = e.sequence();
            if (e.updates() != null) { events.accept(e); }
        } catch (IOException | RuntimeException x) {
            away(mine, x.getMessage()); // the next connection tells it whole
        }
    }

    @Override public synchronized void close() {
        state = State.CLOSED;
        look.cancel(false);
        if (link != null) { link.close(); }
        if (teller != null) { teller.close(); }
    }

    private final class StreamHandler implements HttpClientConnection.ResponseHandler {
        private final long mine;
        private final ServerSentEventDecoder sse = new ServerSentEventDecoder(MOST_EVENT);
        private final long began = System.nanoTime();

        StreamHandler(long mine) { this.mine = mine; }

        @Override public boolean bodyPart(byte[] bytes) {
            synchronized (EventStreamClient.this) {
                if (!counts(mine)) { return true; }
            }
            long lines = sse.lines();
            boolean fits = sse.take(bytes, (id, data) -> event(mine, data));
            synchronized (EventStreamClient.this) {
                if (mine == turn && sse.lines() > lines) { told(); } // bytes of a line that never ends are silence
            }
            if (!fits) { away(mine, "an event over " + MOST_EVENT + " bytes"); }
            return true;
        }

        private void told() {
            heard = System.nanoTime();
            state = State.FOLLOWING;
            if (heard - began > LASTS.toNanos()) { tries = 0; } // one that breaks off at once is not asked at full speed
            if (telling == mine) { return; }
            if (teller != null) { teller.close(); }
            teller = link;
            telling = mine;
        }

        @Override public void responded(int status, Map<String, String> headers, byte[] body,
            boolean reusable) {
            away(mine, "it ended with status " + status);
        }

        @Override public void connectionLost(String why) { away(mine, why); }
    }
}
