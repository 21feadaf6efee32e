package switchgap.net;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Context;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEventLifeCycleListener;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** One connection that asks: one exchange at a time, each answer matched to the exchange that is on it. */
public final class HttpClientConnection {
    /** What becomes of one exchange: exactly one of answered and broken, unless it was abandoned. */
    public interface ResponseHandler {
        void responded(int status, Map<String, String> headers, byte[] body, boolean reusable);

        /** The connection ended or spoke no HTTP. */
        void connectionLost(String why);

        /** A piece of an answer that comes in pieces; true when it was taken, else pieces are gathered. */
        default boolean bodyPart(byte[] bytes) {
            return false;
        }
    }

    /** How opening a connection ended. */
    public interface ConnectCallback extends Connector.ConnectCallback<HttpClientConnection> {}

    /** Opens links of one kind through one filter chain. */
    public static final class Factory {
        private final NetworkTransport net;
        private final Attribute<
            HttpClientConnection> links = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
                "switchgap.link." + System.identityHashCode(this));
        private final TCPNIOConnectorHandler connector;
        private final InetSocketAddress from;
        private final int bodyBytes;

        /** {@code from} is the local address to ask from, or null for any; answers hold bodyBytes at the most. */
        public Factory(NetworkTransport net, String from, int bodyBytes) {
            this.net = net;
            this.bodyBytes = bodyBytes;
            this.from = from == null ? null : new InetSocketAddress(from, 0);
            this.connector = TCPNIOConnectorHandler.builder(net.transport).processor(
                FilterChainBuilder.stateless().add(new TransportFilter()).add(
                    new UnsolicitedBytesFilter()).add(new InterimResponseFilter()).add(
                        new HttpClientFilter()).add(new ResponseFilter()).build()).build();
        }

        /** Opens a connection; exactly one of the two answers comes, within the span. */
        public void connect(InetSocketAddress to, Duration within, ConnectCallback then) {
            Connector.connect(connector, to, from, within, then, c -> {
                HttpClientConnection link = new HttpClientConnection(c, Factory.this);
                links.set(c, link);
                return link;
            }, HttpClientConnection::close);
        }

        private HttpClientConnection of(FilterChainContext ctx) {
            return links.get(ctx.getConnection());
        }

        /**
         * Guards against bytes that nobody asked for: a second answer to a request must never be read as the
         * answer to the next one, so a link that speaks while idle ends.
         */
        private final class UnsolicitedBytesFilter extends BaseFilter {
            @Override public NextAction handleRead(FilterChainContext ctx) {
                HttpClientConnection link = of(ctx);
                if (link == null || link.now.get() == null) {
                    if (link != null) { link.surplus = true; }
                    ctx.getConnection().closeSilently();
                    return ctx.getStopAction();
                }
                return ctx.getInvokeAction();
            }
        }

        /** Drops interim answers (1xx): each was read as an answer with a body that never ends, until the time limit. */
        private final class InterimResponseFilter extends BaseFilter {
            private static final int HEAD = 16 << 10;
            private static final int STATUS = 9; // bytes of "HTTP/1.1 "

            @Override public NextAction handleRead(FilterChainContext ctx) {
                HttpClientConnection link = of(ctx);
                Buffer b = ctx.getMessage();
                while (!link.answering) {
                    if (b.remaining() <= STATUS) { return ctx.getStopAction(b); }
                    if (b.get(b.position() + STATUS) != '1') {
                        link.answering = true;
                        break;
                    }
                    int end = end(b);
                    if (end < 0 && b.remaining() < HEAD) { return ctx.getStopAction(b); }
                    if (end < 0) {
                        ctx.getConnection().closeSilently();
                        return ctx.getStopAction();
                    }
                    if (end == b.limit()) { return ctx.getStopAction(); }
                    b = b.slice(end, b.limit());
                    ctx.setMessage(b);
                }
                return ctx.getInvokeAction();
            }

            /** Where the head ends, or -1. */
            private static int end(Buffer b) {
                for (int i = b.position() + 3; i < b.limit(); i++) {
                    if (b.get(i) == '\n' && b.get(i - 2) == '\n') { return i + 1; }
                }
                return -1;
            }
        }

        private final class ResponseFilter extends BaseFilter {
            @Override public NextAction handleRead(FilterChainContext ctx) {
                HttpClientConnection link = of(ctx);
                if (link != null && link.hear(ctx.getMessage())) {
                    ctx.getInternalContext().addLifeCycleListener(new WriteListener(link));
                }
                return ctx.getStopAction();
            }

            @Override public NextAction handleClose(FilterChainContext ctx) {
                HttpClientConnection link = of(ctx);
                if (link != null) { link.ended("connection ended"); }
                return ctx.getInvokeAction();
            }

            @Override public void exceptionOccurred(FilterChainContext ctx, Throwable e) {
                HttpClientConnection link = of(ctx);
                ctx.getConnection().closeSilently();
                if (link != null) { link.ended("unreadable answer: " + e.getMessage()); }
            }
        }
    }

    /**
     * Hands an answer over once all that was read with it has been looked at. Guards against a second answer in the
     * same bytes: the link must not be free for the next exchange before those are seen.
     */
    private static final class WriteListener extends IOEventLifeCycleListener.Adapter {
        private final HttpClientConnection link;

        WriteListener(HttpClientConnection link) { this.link = link; }

        @Override public void onComplete(Context c, Object data) { link.hand(); }

        @Override public void onReregister(Context c) { link.hand(); }

        @Override public void onError(Context c, Object e) { link.hand(); }

        @Override public void onTerminate(Context c) { link.hand(); }

        @Override public void onNotRun(Context c) { link.hand(); }

        @Override public void onLeave(Context c) { link.hand(); }
    }

    private final Connection<?> connection;
    private final Factory opener;
    private volatile Runnable whole;
    private final AtomicReference<ResponseHandler> now = new AtomicReference<>();
    private ByteArrayOutputStream gathered;
    private volatile boolean surplus;
    private volatile boolean answering; // whether the head of the final answer has begun
    private volatile Runnable onClose = () -> {};
    /** Nanoseconds of System.nanoTime at which the last exchange ended. */
    public volatile long idleSince = System.nanoTime();

    private HttpClientConnection(Connection<?> connection, Factory opener) {
        this.connection = connection;
        this.opener = opener;
    }

    public boolean isUsable() {
        return connection.isOpen() && !surplus;
    }

    public void onClose(Runnable then) {
        onClose = then;
        if (!connection.isOpen()) { then.run(); }
    }

    /**
     * Asks. False when the link is not open or busy: then no byte has gone out. True: bytes may have gone out and
     * the exchange hears of its end once.
     */
    public boolean send(String method, String path, Map<String, String> headers, byte[] body,
        ResponseHandler x) {
        if (!isUsable() || !now.compareAndSet(null, x)) {
            return false;
        }
        if (!connection.isOpen()) { // closed between the two looks: its end may have been heard already
            return !now.compareAndSet(x, null);
        }
        gathered = null;
        answering = false;
        int q = path.indexOf('?');
        HttpRequestPacket.Builder head = HttpRequestPacket.builder().method(method).uri(
            q < 0 ? path : path.substring(0, q)).protocol("HTTP/1.1").header("Host", "switchgap");
        if (q >= 0) { head.query(path.substring(q + 1)); }
        headers.forEach(head::header);
        head.contentLength(body.length);
        HttpContent packet = HttpContent.builder(head.build()).content(
            Buffers.wrap(connection.getMemoryManager(), body)).last(true).build();
        @SuppressWarnings({"unchecked", "rawtypes"}) Connection<Object> c = (Connection) connection;
        c.write(packet, new EmptyCompletionHandler<>() {
            @Override public void failed(Throwable t) {
                connection.closeSilently();
                ended("write failed: " + t.getMessage());
            }
        });
        return true;
    }

    /** Forgets the exchange and ends the connection: a late answer reaches nobody. */
    public void abandon(ResponseHandler x) {
        if (now.compareAndSet(x, null)) { close(); }
    }

    public void close() {
        connection.closeSilently();
    }

    private void hand() {
        Runnable r = whole;
        whole = null;
        if (r != null) { r.run(); }
    }

    /** Takes a part of an answer in; true when it was the last one. */
    private boolean hear(HttpContent part) {
        ResponseHandler x = now.get();
        if (x == null || whole != null) {
            surplus = true;
            close();
            return false;
        }
        Buffer b = part.getContent();
        int n = b == null ? 0 : b.remaining();
        if (n > 0) {
            byte[] bytes = new byte[n];
            b.get(bytes);
            if (!x.bodyPart(bytes)) {
                if (gathered == null) { gathered = new ByteArrayOutputStream(n); }
                if (gathered.size() + n > opener.bodyBytes) {
                    close();
                    ended("answer larger than " + opener.bodyBytes + " bytes");
                    return false;
                }
                gathered.write(bytes, 0, n);
            }
        }
        if (!part.isLast()) {
            return false;
        }
        HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
        boolean keeps = head.getProcessingState().isKeepAlive();
        Map<String, String> headers = new java.util.HashMap<>();
        var mime = head.getHeaders();
        for (int i = 0; i < mime.size(); i++) {
            headers.put(mime.getName(i).toString().toLowerCase(java.util.Locale.ROOT),
                mime.getValue(i).toString());
        }
        if (head.getContentType() != null) { headers.put("content-type", head.getContentType()); }
        byte[] body = gathered == null ? new byte[0] : gathered.toByteArray();
        gathered = null;
        int status = head.getStatus();
        part.recycle();
        whole = () -> {
            if (now.compareAndSet(x, null)) {
                idleSince = System.nanoTime();
                if (!keeps) { close(); }
                x.responded(status, headers, body, keeps && isUsable());
            }
        };
        return true;
    }

    private void ended(String why) {
        hand(); // an answer that came whole before the end stays one
        ResponseHandler x = now.getAndSet(null);
        if (x != null) { x.connectionLost(why); }
        onClose.run();
    }
}
