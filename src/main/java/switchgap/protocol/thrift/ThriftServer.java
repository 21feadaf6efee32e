package switchgap.protocol.thrift;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.FrameDecoder;
import switchgap.net.NetworkTransport;
import switchgap.net.TcpConnection;
import switchgap.policy.api.RouterSettings;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;

/**
 * Where clients connect. Selector threads read and decode; whatever is known of connections and calls belongs to the
 * router's loop, where the messages are taken in order. Everything a client can make grow is bounded.
 */
public final class ThriftServer implements TcpConnection.Listener, AutoCloseable {
    /**
     * What the door allows: connections at a time, and more of them until the loop has made room, bytes of one connection's unread answers, bytes of all messages that
     * wait for the loop and of all calls held, calls held, and how long a connection may take for its first message or
     * for the rest of one.
     */
    public record ConnectionLimits(int connections, int crowd, int unread, int bytes, int calls,
        Duration arrival) {}

    private static final int MOST_FRAME = 32 << 10;
    /** The protocol says 32, yet usual clients were seen with more than 200 open on a connection; memory is bounded below. */
    private static final int MOST_OPEN = 1024;
    private static final int MOST_WAITING = 256; // messages of one connection that the loop has not seen
    private static final int BACKLOG = 512;
    private static final int MUTE = 4;   // a message's span, one in so many

    private static final class ClientConnection {
        final TcpConnection link;
        final FrameDecoder frames = new FrameDecoder(MOST_FRAME);
        final AtomicInteger waiting = new AtomicInteger();
        final Map<Integer, PendingRequest> open = new HashMap<>();
        volatile boolean partial; // a message has begun and is not whole
        volatile Duration since; // of the connect, or of the first byte of a message that is not whole; null: of none
        volatile boolean spoke;
        /** Numbers that a selector has read a revoke for and the loop has not: as many as messages wait. */
        final Set<Integer> revoked = ConcurrentHashMap.newKeySet();
        Duration heard;

        ClientConnection(TcpConnection link, Duration now) {
            this.link = link;
            since = now;
            heard = now;
        }

        boolean idle() { return open.isEmpty() && waiting.get() == 0; }
    }

    private final SubmitRequestDecoder.NameDirectory book;
    private final Supplier<Duration> clock;
    private final Consumer<Consumer<RouterCore>> events;
    private final ConnectionLimits bounds;
    private final Consumer<String> log;
    private final AtomicInteger connected = new AtomicInteger();
    private final AtomicInteger waitingBytes = new AtomicInteger();
    private final Set<ClientConnection> visits = new HashSet<>();
    private final Map<String, ClientConnection> holders = new HashMap<>(); // of calls held, by their ids
    private int heldBytes;
    private volatile boolean good;
    private TcpConnection.Server listener;

    /** {@code clock} is the router's, {@code events} its loop. */
    public ThriftServer(RouterSettings terms, Map<String, Integer> workloads, Map<String, Integer> customers,
        ConnectionLimits bounds,
        Supplier<Duration> clock, Consumer<Consumer<RouterCore>> events, Consumer<String> log) {
        this.log = log;
        this.book = new SubmitRequestDecoder.NameDirectory(terms, workloads, customers);
        this.bounds = bounds;
        this.clock = clock;
        this.events = events;
    }

    public void listen(NetworkTransport net, String host, int port) throws IOException {
        listener = TcpConnection.listen(net, host, port, BACKLOG, this);
    }

    public int port() { return listener.port(); }

    /** What a heartbeat is answered from now on. */
    public void good(boolean good) { this.good = good; }

    /** Takes no further connection. */
    @Override public void close() { listener.close(); }

    // ------------------------------------------------------------------ on a selector thread

    @Override public void opened(TcpConnection l) {
        ClientConnection v = new ClientConnection(l, clock.get());
        l.attachment = v;
        if (connected.incrementAndGet() > bounds.connections + bounds.crowd) {
            l.close("too many connections");
        } else {
            events.accept(c -> came(c, v));
        }
    }

    @Override public void received(TcpConnection l, ByteBuffer more) {
        ClientConnection v = (ClientConnection) l.attachment;
        Duration now = clock.get();
        boolean fits = v.frames.decode(more, f -> frame(v, f, now));
        v.partial = v.frames.hasPartialFrame();
        v.since = !v.partial ? null : v.since == null ? now : v.since;
        if (!fits) { l.close("a frame's length is out of bounds"); }
    }

    private void frame(ClientConnection v, byte[] frame, Duration now) {
        if (!v.link.isOpen()) { return; }
        v.spoke = true;
        v.since = null;
        ThriftMessage m;
        try {
            m = ThriftMessage.read(frame);
        } catch (ThriftMessage.MalformedMessageException x) {
            if (x.method != null) {
                v.link.send(ThriftResponseEncoder.unreadable(x.method, x.number, x.getMessage()));
            }
            v.link.close("unreadable message");
            return;
        }
        if (m.type() != ThriftMessage.CALL && m.type() != ThriftMessage.ONEWAY) {
            v.link.close("a reply from a client");
        } else if (m.method().equals("heartbeat")) {
            send(v, ThriftResponseEncoder.heartbeat(m.method(), m.number(), good));
        } else if (!m.method().equals("submit") && !m.method().equals("revoke")) {
            send(v, ThriftResponseEncoder.unknownMethod(m.method(), m.number()));
        } else if (v.waiting.incrementAndGet() > MOST_WAITING
            || waitingBytes.addAndGet(frame.length) > bounds.bytes) {
            v.link.close("more messages than the router keeps up with");
        } else {
            if (m.method().equals("revoke")) { v.revoked.add(m.first()); }
            events.accept(c -> {
                v.waiting.decrementAndGet();
                waitingBytes.addAndGet(-frame.length);
                message(c, v, m, now);
            });
        }
    }

    private void send(ClientConnection v, byte[] reply) {
        if (v.link.unsentBytes() > bounds.unread) {
            v.link.close("reads no answers");
        } else {
            v.link.send(reply);
        }
    }

    @Override public void closed(TcpConnection l, String why) {
        connected.decrementAndGet();
        ClientConnection v = (ClientConnection) l.attachment;
        events.accept(c -> left(c, v, why));
    }

    // ------------------------------------------------------------------ on the loop

    /** Connections on which anything is under way: a call, a message half come or not seen yet, an answer not written. */
    public int busy() {
        int n = Math.max(0, connected.get() - visits.size()); // some have come that the loop has not heard of
        for (ClientConnection v : visits) {
            n += v.link.isOpen() && (!v.idle() || v.partial || v.link.unsentBytes() > 0) ? 1 : 0;
        }
        return n;
    }

    /** Fails what is still held, as nothing of it can be waited for any more. */
    public void endAll(RouterCore c) {
        for (ClientConnection v : visits) {
            v.open.forEach(
                (number, call) -> send(v, ThriftResponseEncoder.declared("submit", number, 2, Map.of())));
            for (PendingRequest x : List.copyOf(v.open.values())) { gone(c, x); }
            v.open.clear();
        }
    }

    /** Calls held. */
    public int held() { return holders.size(); }

    public int connections() { return visits.size(); }

    /** As the selectors know them. */
    public int connected() { return connected.get(); }

    private void came(RouterCore c, ClientConnection v) {
        visits.add(v);
        if (!v.link.isOpen()) {
            visits.remove(v);
        } else if (visits.size() > bounds.connections) {
            ClientConnection least = emptiest(c.now());
            (least == null ? v : least).link.close("the place is needed");
        }
    }

    /** The connection that would be missed least: no call of it is held or on its way here, and it is mute or silent for longest; or null. */
    private ClientConnection emptiest(Duration now) {
        ClientConnection least = null;
        for (ClientConnection v : visits) {
            if (v.link.isOpen() && v.idle() && (least == null || emptier(v, least, now))) { least = v; }
        }
        return least;
    }

    private boolean emptier(ClientConnection a, ClientConnection b, Duration now) {
        if (mute(a, now) != mute(b, now)) { return mute(a, now); }
        return a.heard.compareTo(b.heard) < 0;
    }

    /** Never said a thing, though it had the time to: one that has just come is about to. */
    private boolean mute(ClientConnection v, Duration now) {
        return !v.spoke && now.minus(v.heard).compareTo(bounds.arrival.dividedBy(MUTE)) > 0;
    }

    private void left(RouterCore c, ClientConnection v, String why) {
        visits.remove(v);
        if (!v.open.isEmpty()) {
            log.accept("a client's connection ended with " + v.open.size() + " calls held: " + why);
        }
        for (PendingRequest x : List.copyOf(v.open.values())) { gone(c, x); }
        v.open.clear();
    }

    private void gone(RouterCore c, PendingRequest x) {
        over(x);
        c.clientLeft(x);
    }

    private void over(PendingRequest call) {
        holders.remove(call.id);
        heldBytes -= call.body.length;
    }

    private void message(RouterCore c, ClientConnection v, ThriftMessage m, Duration came) {
        if (!v.link.isOpen()) { return; }
        v.heard = c.now();
        if (m.method().equals("revoke")) {
            v.revoked.remove(m.first());
            PendingRequest x = v.open.remove(m.first());
            if (x != null) { gone(c, x); }
            return;
        }
        if (v.revoked.contains(m.number())) { return; } // withdrawn behind it in the queue: nothing is owed
        if (v.open.containsKey(m.number()) || v.open.size() >= MOST_OPEN) {
            v.link.close("two requests under one number, or too many open"); // an answer could be read as the other's
            return;
        }
        PendingRequest call;
        try {
            call = SubmitRequestDecoder.read(m, book, came, new ResponseListener() {
                @Override public void responded(PendingRequest x, Response a) {
                    ThriftServer.this.answered(v, m, x, a);
                }

                /** Within half a second it only earns nothing; a call without its final answer is lost. */
                @Override public void deadlineMissed(PendingRequest x, Response late) {
                    ThriftServer.this.answered(v, m, x, late);
                }

                @Override public boolean isDisconnected() {
                    return !v.link.isOpen() || v.revoked.contains(m.number());
                }
            });
        } catch (SubmitRequestDecoder.InvalidRequestException x) {
            unusable(v, m, x.getMessage());
            return;
        }
        ClientConnection holder = holders.get(call.id);
        if (holder != null && !holder.link.isOpen()) { // sent again on a new connection, which came before the old one's end
            left(c, holder, "sent again on another one");
            holder = null;
        }
        if (holder != null) {
            unusable(v, m, "ref");
            return;
        }
        boolean room = holders.size() < bounds.calls && heldBytes + call.body.length <= bounds.bytes;
        holders.put(call.id, v); // before it is offered: its answer may come at once, and takes it out again
        heldBytes += call.body.length;
        v.open.put(m.number(), call);
        if (!room || !c.accept(call)) {
            done(v, m, call);
            refuse(v, m, book.terms().retryAfterAllowed() ? book.terms().maxRetryAfter() : null);
        }
    }

    private void unusable(ClientConnection v, ThriftMessage m, String field) {
        send(v,
            ThriftResponseEncoder.declared(m.method(), m.number(), 2, Map.of("reason", "unusable " + field)));
    }

    private void refuse(ClientConnection v, ThriftMessage m, Duration comeBack) {
        send(v, ThriftResponseEncoder.declared(m.method(), m.number(), 1,
            comeBack == null ? Map.of()
                : Map.of("cooldown", String.valueOf(Math.max(1, comeBack.toMillis())))));
    }

    private void done(ClientConnection v, ThriftMessage m, PendingRequest x) {
        v.open.remove(m.number());
        over(x);
    }

    private void answered(ClientConnection v, ThriftMessage m, PendingRequest x, Response a) {
        done(v, m, x);
        switch (a.kind()) {
            case SUCCEEDED -> send(v, ThriftResponseEncoder.answer(m.method(), m.number(), a.body(), true));
            case REJECTED -> refuse(v, m, a.retryAfter());
            case FAILED -> send(v, ThriftResponseEncoder.declared(m.method(), m.number(), 2, Map.of()));
        }
    }

    /** Ends connections that take too long for a message; called now and then. */
    public void sweep(Duration now) {
        for (ClientConnection v : new ArrayList<>(visits)) {
            Duration since = v.since;
            if (since != null && now.minus(since).compareTo(bounds.arrival) > 0) {
                v.link.close("no whole message in time");
            }
        }
    }
}
