package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;

/**
 * Connections to one worker, few and shared, each with as little out as can be: an answer that can't be read takes all
 * of its connection with it. Nothing is ever sent again by itself. Exchanges wait only while a connection is being
 * opened. All of it belongs to the router's loop.
 */
final class RespConnectionPool {
    private final RespWorkerTransport workers;
    private final InetSocketAddress address;
    private final List<RespConnection> links = new ArrayList<>();
    private final ArrayDeque<PendingExchange> waiting = new ArrayDeque<>();
    private int opening;
    private boolean retired;

    RespConnectionPool(RespWorkerTransport workers, InetSocketAddress address) {
        this.workers = workers;
        this.address = address;
    }

    void ask(PendingExchange e) {
        RespConnection l = e.mayGo() && !retired ? least(e) : null;
        if (e.mayGo() && !retired && (l == null || !l.out.isEmpty()) && mayOpen()) {
            opening++;
            workers.dial(this, address);
        }
        if (l != null) {
            put(e, l);
        } else if (e.mayGo() && opening > 0 && waiting.size() < workers.bounds.waiting()) {
            waiting.add(e);
        } else {
            workers.soon(c -> e.end(c, AttemptOutcome.NOT_SENT, null));
        }
    }

    /** Mute links count for nothing: each is replaced, and closed once nothing is out on it. */
    private boolean mayOpen() {
        int live = opening;
        for (RespConnection l : links) { live += l.mute ? 0 : 1; }
        int most = workers.perWorker();
        return live < most && links.size() + opening < 2 * most && workers.room();
    }

    /** The idle link that was of use the longest ago: of this worker's and {@code of}. */
    RespConnection leastUsed(RespConnection of) {
        RespConnection least = of;
        for (RespConnection l : links) {
            if (l.out.isEmpty() && l.bytes.isOpen() && (least == null || l.used < least.used)) { least = l; }
        }
        return least;
    }

    /**
     * The usable link with the least out, or null. One with bytes to write is passed over: what waits behind them would go
     * out after its worker drained or its client left.
     */
    private RespConnection least(PendingExchange e) {
        RespConnection least = null;
        for (RespConnection l : links) {
            boolean usable = !l.mute && l.bytes.isOpen() && l.out.size() < workers.bounds.multiplex()
                && l.bytes.unsentBytes() == 0 && !met(e, l);
            if (usable && (least == null || l.out.size() < least.out.size())) { least = l; }
        }
        return least;
    }

    /** Whether an earlier execution of the job went out there: both bear its id, and a late answer would be the wrong one's. */
    private static boolean met(PendingExchange e, RespConnection l) {
        if (e.call == null) { return false; }
        for (Attempt r : e.call.attempts()) {
            if (r.attachment instanceof PendingExchange o && o != e && o.link == l) { return true; }
        }
        return false;
    }

    private void put(PendingExchange e, RespConnection l) {
        if (!e.mayGo() || !l.bytes.send(e.command)) { // no byte of it went out
            workers.soon(c -> e.end(c, AttemptOutcome.NOT_SENT, null));
            return;
        }
        e.state = PendingExchange.State.OUT;
        e.link = l;
        e.sent = workers.nanos();
        l.used = e.sent;
        if (e.id != null) {
            l.out.put(e.id, e);
        } else {
            workers.soon(c -> e.end(c, AttemptOutcome.SUCCEEDED, null));
        }
    }

    /** A connection is up. */
    void opened(RouterCore c, RespConnection l) {
        opening--;
        if (retired || !l.bytes.isOpen()) {
            l.bytes.close("its worker is gone");
            workers.ended();
        } else {
            links.add(l);
        }
        settle(c, AttemptOutcome.NOT_SENT);
    }

    void failed(RouterCore c) {
        opening--;
        workers.ended();
        settle(c, AttemptOutcome.CONNECT_FAILED);
    }

    /** Places what waits; with no connection under way the rest is told at once that it never went out. */
    private void settle(RouterCore c, AttemptOutcome none) {
        for (int n = waiting.size(); n > 0; n--) {
            PendingExchange e = waiting.poll();
            if (e.state != PendingExchange.State.WAITING) { continue; }
            RespConnection to = least(e);
            if (to != null) {
                put(e, to);
            } else if (opening > 0) {
                waiting.add(e);
            } else {
                e.end(c, links.isEmpty() ? none : AttemptOutcome.NOT_SENT, null);
            }
        }
    }

    /** A connection ended; what was out on it may have run. */
    void closed(RouterCore c, RespConnection l) {
        if (links.remove(l)) { workers.ended(); }
        List<PendingExchange> all = List.copyOf(l.out.values());
        l.out.clear();
        all.forEach(e -> e.end(c, AttemptOutcome.CONNECTION_LOST, null));
    }

    /** An answer; one for an id that is not out on this very connection is passed over. */
    void answered(RouterCore c, RespConnection l, WorkerReply r) {
        l.mute = false;
        l.heard = workers.nanos();
        PendingExchange e = l.out.get(r.id());
        if (e == null) { return; }
        AttemptOutcome end = r.end();
        if (end == null) {
            l.bytes.close("an answer of no known word");
            return;
        }
        l.out.remove(r.id());
        l.used = l.heard;
        e.end(c, end, r);
    }

    /** Ends an exchange whose answer is not wanted any more; tells what that proves. */
    AttemptOutcome abandon(PendingExchange e) {
        PendingExchange.State was = e.state;
        e.state = PendingExchange.State.OVER;
        if (was == PendingExchange.State.WAITING) {
            waiting.remove(e);
            return links.isEmpty() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
        }
        RespConnection l = e.link;
        if (was == PendingExchange.State.OUT && l.out.remove(e.id, e)) {
            l.mute |= workers.nanos() >= e.until && l.heard < e.sent;
            if (l.mute && l.out.isEmpty()) {
                l.bytes.close("it says nothing"); // which gives up all that was open on it
            } else if (e.call != null) {
                l.bytes.send(RespCommandEncoder.of("UNDO", e.id));
            }
        }
        return AttemptOutcome.TIMED_OUT;
    }

    /** Its worker takes nothing new: what waits is told at once, what is out goes on. */
    void refuse() {
        for (int n = waiting.size(); n > 0; n--) {
            PendingExchange e = waiting.poll();
            if (e.mayGo()) {
                waiting.add(e);
            } else {
                workers.soon(c -> e.end(c, AttemptOutcome.NOT_SENT, null));
            }
        }
    }

    /** Its worker is gone for good: links close as they fall idle. */
    void retire() {
        retired = true;
        for (PendingExchange e; (e = waiting.poll()) != null;) {
            PendingExchange x = e;
            workers.soon(c -> x.end(c, AttemptOutcome.NOT_SENT, null));
        }
        sweep(0);
    }

    /** Closes links that were of no use for so long; true where the pool can be forgotten. */
    boolean sweep(long idle) {
        long now = workers.nanos();
        for (RespConnection l : links) {
            if (l.out.isEmpty() && (retired || now - l.used >= idle)) { l.bytes.close("idle"); }
        }
        return retired && links.isEmpty() && opening == 0;
    }
}
