package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** Listens, reads requests whole within bounds, and hands each to the desk on a selector thread. */
public final class HttpServer implements AutoCloseable {
    /** Takes the requests. */
    public interface RequestHandler {
        void handle(HttpExchange r);

        /** The asker's connection ended before its request was answered. */
        default void clientLeft(HttpExchange r) {}
    }

    private static final class ConnectionState {
        byte[] body = new byte[0];
        int size;
        boolean discarded;
        final long opened = System.nanoTime();
        volatile long began; // of a request that is not whole yet, or 0
        volatile boolean used;
        volatile HttpExchange asked;
    }

    private final Attribute<ConnectionState> visits = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
        "switchgap.visit." + System.identityHashCode(this), ConnectionState::new);
    private final NetworkTransport net;
    private final ConnectionLimits bounds;
    private final RequestHandler desk;
    private final Set<Connection<?>> open = ConcurrentHashMap.newKeySet();
    private TCPNIOServerConnection listener;
    private ScheduledFuture<?> look;

    public HttpServer(NetworkTransport net, ConnectionLimits bounds, RequestHandler desk) {
        this.net = net;
        this.bounds = bounds;
        this.desk = desk;
    }

    /** Listens; port 0 takes any. Returns the port. */
    @SuppressWarnings("deprecation") // the constructors with bounds have no successor in this version
    public int listen(String host, int port) throws IOException {
        KeepAlive keep = new KeepAlive();
        keep.setIdleTimeoutInSeconds((int) bounds.idleTimeout().toSeconds());
        keep.setMaxRequestsCount(-1);
        HttpServerFilter http = new HttpServerFilter(false, bounds.maxHeaderBytes(), "text/plain", keep,
            net.timers(), 100, 100);
        TCPNIOBindingHandler binding = TCPNIOBindingHandler.builder(net.transport).processor(
            FilterChainBuilder.stateless().add(new TransportFilter()).add(new RequestStartFilter()).add(
                http).add(new RequestAssemblyFilter()).build()).build();
        listener = binding.bind(new InetSocketAddress(host, port), 4096);
        long every = Math.max(10, bounds.receiveTimeout().toMillis() / 4);
        look = TimerThread.EXECUTOR.scheduleAtFixedRate(this::look, every, every, TimeUnit.MILLISECONDS);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Stops listening; open connections stay. */
    public void stopListening() {
        if (listener != null) {
            listener.closeSilently();
            listener = null;
        }
    }

    /**
     * Guards against those who never get to a whole request: one byte a minute, half a head and then silence, or a
     * connection on which nothing comes at all. Each held a place for good, until all were taken.
     */
    private void look() {
        long now = System.nanoTime();
        open.forEach(c -> {
            ConnectionState v = visits.get(c);
            long began = v.began;
            if (began != 0 && now - began > bounds.receiveTimeout().toNanos()
                || began == 0 && !v.used && now - v.opened > bounds.idleTimeout().toNanos()) {
                c.closeSilently();
            }
        });
    }

    @Override public void close() {
        stopListening();
        if (look != null) { look.cancel(false); }
        open.forEach(Connection::closeSilently);
    }

    /** The first filter: notes when a request begins, before its head can be read. */
    private final class RequestStartFilter extends BaseFilter {
        @Override public NextAction handleRead(FilterChainContext ctx) {
            ConnectionState v = visits.get(ctx.getConnection());
            if (v.began == 0 && v.asked == null) { v.began = System.nanoTime(); }
            return ctx.getInvokeAction();
        }
    }

    /** The last filter: gathers bodies and notices who leaves. */
    private final class RequestAssemblyFilter extends BaseFilter {
        @Override public NextAction handleAccept(FilterChainContext ctx) {
            if (open.size() >= bounds.maxConnections()) {
                ctx.getConnection().closeSilently();
            } else {
                open.add(ctx.getConnection());
            }
            return ctx.getInvokeAction();
        }

        @Override public NextAction handleClose(FilterChainContext ctx) {
            open.remove(ctx.getConnection());
            ConnectionState v = visits.peek(ctx.getConnection());
            HttpExchange asked = v == null ? null : v.asked;
            if (asked != null) {
                v.asked = null;
                desk.clientLeft(asked);
            }
            return ctx.getInvokeAction();
        }

        @Override public NextAction handleRead(FilterChainContext ctx) {
            HttpContent part = ctx.getMessage();
            HttpRequestPacket head = (HttpRequestPacket) part.getHttpHeader();
            Connection<?> c = ctx.getConnection();
            ConnectionState v = visits.get(c);
            if (v.asked != null) { // a further request before the answer: pipelining is not spoken here
                c.closeSilently();
                return ctx.getStopAction();
            }
            Buffer b = part.getContent();
            int more = b == null ? 0 : b.remaining();
            if (v.size + more > bounds.maxBodyBytes() || head.getContentLength() > bounds.maxBodyBytes()) {
                v.discarded = true; // a body too large is refused at its first sign, and the connection ends
                refuse(c, head, 413, "body larger than " + bounds.maxBodyBytes() + " bytes");
                return ctx.getStopAction();
            }
            if (v.size + more > v.body.length) {
                long told = head.getContentLength();
                v.body = java.util.Arrays.copyOf(v.body,
                    Math.max(v.size + more, told > 0 ? (int) told : 2 * v.size));
            }
            if (more > 0) {
                b.get(v.body, v.size, more);
                v.size += more;
            }
            // A request that also offers an upgrade never has a last part; it is answered as the plain one it is, on its
            // own connection, since what follows on it is no request to the filters.
            boolean upgrade = head.isUpgrade() && v.size >= head.getContentLength();
            if (upgrade) { head.getProcessingState().setKeepAlive(false); }
            boolean last = part.isLast() || upgrade;
            part.recycle();
            if (!last || v.discarded) {
                return ctx.getStopAction();
            }
            byte[] body = v.size == v.body.length ? v.body : java.util.Arrays.copyOf(v.body, v.size);
            HttpExchange r = new HttpExchange(c, head, body, () -> v.asked = null);
            v.body = new byte[0];
            v.size = 0;
            v.asked = r;
            v.used = true;
            v.began = 0;
            desk.handle(r);
            return ctx.getStopAction();
        }

        private void refuse(Connection<?> c, HttpRequestPacket head, int status, String why) {
            head.getProcessingState().setKeepAlive(false);
            new HttpExchange(c, head, new byte[0], () -> {}).respond(status,
                Map.of("Content-Type", "application/problem+json", "Connection", "close"),
                ("{\"title\":\"refused\",\"status\":" + status + ",\"detail\":\"" + why + "\"}").getBytes());
        }
    }
}
