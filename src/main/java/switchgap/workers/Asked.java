package switchgap.workers;

import java.util.Map;
import switchgap.port.End;
import switchgap.router.Unsent;
import switchgap.wire.HttpLink;

/**
 * One exchange with a worker. Its states: WAITING for a connection (no byte has gone out), OUT on a link, OVER. The
 * pool's lock guards the state.
 */
abstract class Asked implements HttpLink.Exchange, Unsent {
    private enum State { WAITING, OUT, OVER }

    final String method;
    final String path;
    final Map<String, String> headers;
    final byte[] body;
    private State state = State.WAITING;
    private HttpLink link;
    private long expires = Long.MAX_VALUE;
    Pool pool;

    Asked(String method, String path, Map<String, String> headers, byte[] body) {
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.body = body;
    }

    /** Ended without a byte sent. */
    abstract void unsent(End end, String why);

    abstract void replied(int status, Map<String, String> head, byte[] content);

    /** Ended after bytes may have been sent. */
    abstract void lost(String why);

    /** Guards against a pause: what waited past this System.nanoTime is not sent any more. */
    final synchronized void expiresAt(long nanos) {
        expires = nanos;
    }

    final synchronized boolean go(HttpLink to) {
        if (state != State.WAITING || expires != Long.MAX_VALUE && System.nanoTime() - expires >= 0) { return false; }
        state = State.OUT;
        link = to;
        return true;
    }

    /** The link took nothing: back to waiting, unless it was abandoned meanwhile. */
    final synchronized boolean back() {
        if (state != State.OUT) { return false; }
        state = State.WAITING;
        link = null;
        return true;
    }

    final synchronized boolean over() {
        boolean was = state != State.OVER;
        state = State.OVER;
        return was;
    }

    @Override public final synchronized boolean unsent() {
        return state == State.WAITING;
    }

    /** Waiting because all connections were taken, or because none could be had. */
    @Override public final End end() {
        return pool != null && pool.open() > 0 ? End.NOT_SENT : End.NO_CONNECTION;
    }

    final void abandon() {
        HttpLink l;
        synchronized (this) {
            if (state == State.OVER) { return; }
            state = State.OVER;
            l = link;
        }
        if (l != null) { l.abandon(this); }
    }

    @Override public final void answered(int status, Map<String, String> head, byte[] content, boolean reusable) {
        HttpLink l = link;
        boolean was = over();
        if (reusable) { pool.back(l); }
        if (was) { replied(status, head, content); }
    }

    @Override public final void broken(String why) {
        if (over()) { lost(why); }
    }
}
