package switchgap.protocol.inference;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.net.HttpClientConnection;
import switchgap.policy.api.AttemptOutcome;

/**
 * Kept connections to one worker: opened as needed up to a cap, the last used first, closed when idle. Nothing is
 * ever sent again by itself: an exchange whose link took bytes and broke is lost, and only one that saw no byte go
 * out is tried on a further link.
 */
final class HttpConnectionPool {
    private final HttpClientConnection.Factory opener;
    private final InetSocketAddress address;
    private final int most;
    private final int mostWaiting;
    private final Duration connectWithin;
    private final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<PendingExchange> waiting = new ArrayDeque<>();
    private int open;
    private int opening;
    private boolean retired;

    HttpConnectionPool(HttpClientConnection.Factory opener, InetSocketAddress address, int most,
        int mostWaiting, Duration connectWithin) {
        this.opener = opener;
        this.address = address;
        this.most = most;
        this.mostWaiting = mostWaiting;
        this.connectWithin = connectWithin;
    }

    synchronized int open() {
        return open;
    }

    void ask(PendingExchange a) {
        a.pool = this;
        HttpClientConnection link = null;
        synchronized (this) {
            if (a.wanted()) {
                link = takeIdle();
                if (link == null && waiting.size() >= mostWaiting) {
                    waiting.removeIf(w -> !w.unsent());
                }
                if (link == null && waiting.size() < mostWaiting) {
                    waiting.add(a);
                    a = null;
                }
            }
        }
        if (link != null) {
            put(a, link);
        } else if (a == null || !a.endUnsent(AttemptOutcome.NOT_SENT,
            "too many wait for a connection, or its worker takes nothing new")) {
            openMore();
        }
    }

    private HttpClientConnection takeIdle() {
        HttpClientConnection l = idle.pollFirst();
        while (l != null && !l.isUsable()) { l = idle.pollFirst(); }
        return l;
    }

    /** Puts an exchange on a link; a link that took nothing is no loss, the next one is tried. */
    private void put(PendingExchange a, HttpClientConnection link) {
        if (!a.go(link)) { // told at once: what is known not to have run can still be placed elsewhere
            a.endUnsent(AttemptOutcome.NOT_SENT, "its worker takes nothing new, or its time is over");
            back(link);
        } else if (!link.send(a.method, a.path, a.headers, a.body, a)) {
            if (a.back()) { ask(a); }
        } else if (a.isOver()) {
            link.abandon(a); // abandoned just before it went out: nobody would ever end it, nor free its link
        }
    }

    private void openMore() {
        int more;
        synchronized (this) {
            waiting.removeIf(w -> !w.unsent());
            more = Math.min(waiting.size() - opening, most - open - opening);
            more = Math.max(0, more);
            opening += more;
        }
        for (int i = 0; i < more; i++) {
            opener.connect(address, connectWithin, new HttpClientConnection.ConnectCallback() {
                @Override public void connected(HttpClientConnection link) {
                    synchronized (HttpConnectionPool.this) {
                        opening--;
                        open++;
                    }
                    link.onClose(() -> closed(link));
                    back(link);
                }

                @Override public void failed(String why) {
                    PendingExchange a;
                    synchronized (HttpConnectionPool.this) {
                        opening--;
                        a = waiting.size() > opening ? next() : null;
                    }
                    if (a != null) { a.endUnsent(AttemptOutcome.CONNECT_FAILED, why); }
                    openMore(); // more may wait than links may be open: each is tried, and told, in its turn
                }
            });
        }
    }

    private final java.util.Set<
        HttpClientConnection> gone = java.util.Collections.newSetFromMap(new java.util.WeakHashMap<>());

    private void closed(HttpClientConnection link) {
        boolean more;
        synchronized (this) {
            if (!gone.add(link)) { return; }
            open--;
            idle.remove(link);
            more = !waiting.isEmpty();
        }
        if (more) { openMore(); }
    }

    private PendingExchange next() {
        PendingExchange a = waiting.pollFirst();
        while (a != null && !a.unsent()) { a = waiting.pollFirst(); }
        return a;
    }

    /** A link is free: the next one waiting takes it. */
    void back(HttpClientConnection link) {
        PendingExchange a;
        synchronized (this) {
            a = next();
            if (a == null && link.isUsable() && !retired) { idle.addFirst(link); }
        }
        if (a != null) {
            put(a, link);
        } else if (retired) { link.close(); }
    }

    /** Its worker takes nothing new: what waits is told at once, what is out goes on. */
    void refuse() {
        List<PendingExchange> all;
        synchronized (this) {
            all = List.copyOf(waiting);
            waiting.clear();
        }
        all.forEach(a -> a.endUnsent(AttemptOutcome.NOT_SENT, "its worker takes nothing new"));
    }

    /** Its worker is gone for good: links close as they fall idle. */
    void retire() {
        synchronized (this) {
            retired = true;
        }
        refuse();
        close();
    }

    /** Closes links idle for longer than this. */
    void sweep(Duration idleFor) {
        List<HttpClientConnection> old = new ArrayList<>();
        long now = System.nanoTime();
        synchronized (this) {
            while (!idle.isEmpty() && now - idle.peekLast().idleSince > idleFor.toNanos()) {
                old.add(idle.pollLast());
            }
        }
        old.forEach(HttpClientConnection::close);
    }

    void close() {
        List<HttpClientConnection> all;
        synchronized (this) {
            all = List.copyOf(idle);
            idle.clear();
        }
        all.forEach(HttpClientConnection::close);
    }
}
