package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** A connection that carries bytes as they come; it tells how many it has yet to write. */
public final class TcpConnection {
    /** Hears of a link; on a selector thread. After closed nothing comes. */
    public interface Listener {
        void opened(TcpConnection l);

        /** What came, to be read before this returns. */
        void received(TcpConnection l, ByteBuffer more);

        void closed(TcpConnection l, String why);
    }

    private final Connection<?> connection;
    private final Listener ear;
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger unsent = new AtomicInteger();
    private final AtomicInteger writes = new AtomicInteger();
    /** The ear's own. */
    public volatile Object attachment;

    private TcpConnection(Connection<?> c, Listener ear) {
        this.connection = c;
        this.ear = ear;
    }

    public boolean isOpen() { return !over.get() && connection.isOpen(); }

    /** Bytes given to send and not written yet. */
    public int unsentBytes() { return unsent.get(); }

    /** How many sends are not written yet. */
    public int unsentWrites() { return writes.get(); }

    /** Writes; false, and no byte goes out, where the link is closed. The bytes are the link's from now on. */
    public boolean send(byte[] bytes) {
        if (!isOpen()) { return false; }
        unsent.addAndGet(bytes.length);
        writes.incrementAndGet();
        ((TCPNIOTransport) connection.getTransport()).getAsyncQueueIO().getWriter().write(
            (NIOConnection) connection,
            Buffers.wrap(connection.getMemoryManager(), bytes),
            new EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>>() {
                @Override public void completed(WriteResult<WritableMessage, SocketAddress> r) {
                    unsent.addAndGet(-bytes.length);
                    writes.decrementAndGet();
                }

                @Override public void failed(Throwable e) { close("a write failed"); }
            });
        return true;
    }

    public void close(String why) {
        if (over.compareAndSet(false, true)) {
            connection.closeSilently();
            ear.closed(this, why);
        }
    }

    private static final class ConnectionFilter extends BaseFilter {
        private final Attribute<TcpConnection> links = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            "switchgap.bytes." + System.identityHashCode(this));
        private final Listener ear;

        ConnectionFilter(Listener ear) { this.ear = ear; }

        private NextAction begin(FilterChainContext x) {
            TcpConnection l = new TcpConnection(x.getConnection(), ear);
            links.set(x.getConnection(), l);
            ear.opened(l);
            return x.getStopAction();
        }

        @Override public NextAction handleAccept(FilterChainContext x) { return begin(x); }

        @Override public NextAction handleConnect(FilterChainContext x) { return begin(x); }

        @Override public NextAction handleRead(FilterChainContext x) {
            Buffer b = x.getMessage();
            TcpConnection l = links.get(x.getConnection());
            if (l != null && !l.over.get()) { ear.received(l, b.toByteBuffer()); }
            b.tryDispose();
            return x.getStopAction();
        }

        @Override public NextAction handleClose(FilterChainContext x) {
            TcpConnection l = links.get(x.getConnection());
            if (l != null) { l.close("the other side closed"); }
            return x.getStopAction();
        }
    }

    private static FilterChain chain(ConnectionFilter r) {
        return FilterChainBuilder.stateless().add(new TransportFilter()).add(r).build();
    }

    /** Listens; port 0 takes any; so many connections may wait to be accepted. */
    public static Server listen(NetworkTransport net, String host, int port, int backlog, Listener ear)
        throws IOException {
        return new Server(TCPNIOBindingHandler.builder(net.transport).processor(
            chain(new ConnectionFilter(ear))).build().bind(new InetSocketAddress(host, port), backlog));
    }

    /** A listener. */
    public static final class Server implements AutoCloseable {
        private final TCPNIOServerConnection c;

        private Server(TCPNIOServerConnection c) { this.c = c; }

        public int port() { return ((InetSocketAddress) c.getLocalAddress()).getPort(); }

        @Override public void close() { c.closeSilently(); }
    }

    /** Opens links of one kind, again and again, through one filter chain. */
    public static final class Factory {
        private final ConnectionFilter reader;
        private final TCPNIOConnectorHandler connector;

        public Factory(NetworkTransport net, Listener ear) {
            reader = new ConnectionFilter(ear);
            connector = TCPNIOConnectorHandler.builder(net.transport).processor(chain(reader)).build();
        }

        /** Opens one; exactly one of the two answers comes, within the span. */
        public void connect(InetSocketAddress to, Duration within,
            Connector.ConnectCallback<TcpConnection> then) {
            Connector.connect(connector, to, null, within, then, c -> reader.links.get(c),
                l -> l.close("opened too late"));
        }
    }
}
