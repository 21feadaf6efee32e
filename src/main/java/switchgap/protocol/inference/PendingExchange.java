package switchgap.protocol.inference;

import java.util.Map;
import switchgap.net.HttpClientConnection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;

/**
 * One exchange with a worker. Its states: WAITING for a connection (no byte has gone out), OUT on a link, OVER. The
 * pool's lock guards the state.
 */
abstract class PendingExchange implements HttpClientConnection.ResponseHandler {
    private enum State { WAITING, OUT, OVER }

    final String method;
    final String path;
    final Map<String, String> headers;
    final byte[] body;
    private State state = State.WAITING;
    private HttpClientConnection link;
    private long expires = Long.MAX_VALUE;
    private final WorkerEntry worker;
    HttpConnectionPool pool;

    PendingExchange(WorkerEntry worker, String method, String path, Map<String, String> headers,
        byte[] body) {
        this.worker = worker;
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.body = body;
    }

    /** Ended without a byte sent. */
    abstract void unsent(AttemptOutcome end, String why);

    abstract void replied(int status, Map<String, String> head, byte[] content);

    /** Ended after bytes may have been sent. */
    abstract void lost(String why);

    /** Guards against a pause: what waited past this System.nanoTime is not sent any more. */
    final synchronized void expiresAt(long nanos) {
        expires = nanos;
    }

    /**
     * Takes a link, unless it is too late. Guards rule 3: what waited here while its worker began to drain does not go.
     */
    synchronized boolean go(HttpClientConnection to) {
        if (state != State.WAITING || !wanted()) { return false; }
        state = State.OUT;
        link = to;
        return true;
    }

    /** Whether it may still go out: its worker takes what is new, and there is time. */
    final synchronized boolean wanted() {
        return worker.accepting && (expires == Long.MAX_VALUE || System.nanoTime() - expires < 0);
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

    /** Ends it as never sent; false where it was over already. */
    final boolean endUnsent(AttemptOutcome end, String why) {
        boolean was = over();
        if (was) { unsent(end, why); }
        return was;
    }

    final synchronized boolean isOver() { return state == State.OVER; }

    final synchronized boolean unsent() {
        return state == State.WAITING;
    }

    /**
     * Ends it. Asking whether it was sent and ending it are one step: between two, a carrier could send it and a job
     * that may have run would count as never sent (rule 2; seen on a day of crowded links).
     */
    final AttemptOutcome abandon() {
        HttpClientConnection l;
        State was;
        synchronized (this) {
            was = state;
            state = State.OVER;
            l = link;
        }
        if (was == State.OUT && l != null) { l.abandon(this); }
        if (was != State.WAITING) { return AttemptOutcome.TIMED_OUT; }
        return pool != null && pool.open() > 0 ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED; // all links taken, or none had
    }

    @Override public final void responded(int status, Map<String, String> head, byte[] content,
        boolean reusable) {
        HttpClientConnection l = link;
        boolean was = over();
        if (reusable) { pool.back(l); }
        if (was) { replied(status, head, content); }
    }

    @Override public final void connectionLost(String why) {
        if (over()) { lost(why); }
    }
}
