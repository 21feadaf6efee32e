package switchgap.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** Opens connections within a span. One that isn't up by then is given up: a silent machine must not keep descriptors. */
public final class Connector {
    /** How opening a connection ended. */
    public interface ConnectCallback<L> {
        void connected(L link);

        void failed(String why);
    }

    private Connector() {}

    @SuppressWarnings("rawtypes") static <L> void connect(TCPNIOConnectorHandler connector,
        InetSocketAddress to, InetSocketAddress from, Duration within,
        ConnectCallback<L> then, Function<Connection, L> make, Consumer<L> close) {
        AtomicReference<ConnectCallback<L>> left = new AtomicReference<>(then);
        AtomicReference<GrizzlyFuture<Connection>> dialled = new AtomicReference<>();
        Consumer<String> failed = why -> {
            ConnectCallback<L> o = left.getAndSet(null);
            if (o != null) { o.failed(why); }
        };
        var late = TimerThread.EXECUTOR.schedule(() -> {
            failed.accept("no connection within " + within.toMillis() + " ms");
            GrizzlyFuture<Connection> f = dialled.get();
            if (f != null) { f.cancel(true); }
        }, within.toMillis(), TimeUnit.MILLISECONDS);
        CompletionHandler<Connection> done = new EmptyCompletionHandler<>() {
            @Override public void completed(Connection c) {
                late.cancel(false);
                L link = make.apply(c);
                ConnectCallback<L> o = left.getAndSet(null);
                if (o == null) {
                    close.accept(link);
                } else {
                    o.connected(link);
                }
            }

            @Override public void failed(Throwable t) {
                late.cancel(false);
                failed.accept(String.valueOf(t.getMessage()));
            }

            @Override public void cancelled() { failed.accept("cancelled"); }
        };
        GrizzlyFuture<Connection> f = connector.connect(to, from);
        dialled.set(f);
        if (left.get() == null) { f.cancel(true); } // the span ended before there was anything to cancel
        f.addCompletionHandler(done);
    }
}
