package switchgap.net;

import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Bytes written below the HTTP filters. */
final class RawBytesFilter {
    private RawBytesFilter() {}

    static void write(Connection<?> c, byte[] bytes, boolean close) {
        ((TCPNIOTransport) c.getTransport()).getAsyncQueueIO().getWriter().write((NIOConnection) c,
            Buffers.wrap(c.getMemoryManager(), bytes), new EmptyCompletionHandler<>() {
                @Override public void completed(WriteResult<WritableMessage, SocketAddress> r) {
                    if (close) { c.closeSilently(); }
                }
            });
    }
}
