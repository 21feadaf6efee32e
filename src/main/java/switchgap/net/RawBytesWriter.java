package switchgap.net;

import java.net.SocketAddress;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Writes bytes to a connection's socket, bypassing the connection's filter chain. */
final class RawBytesWriter {
  private RawBytesWriter() {}

  /** Queues a write and returns immediately. The array must not be modified afterwards. */
  static void write(
      Connection<?> connection,
      byte[] bytes,
      CompletionHandler<WriteResult<WritableMessage, SocketAddress>> completionHandler) {
    TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
    transport
        .getAsyncQueueIO()
        .getWriter()
        .write((NIOConnection) connection, new SocketMessage(connection, bytes), completionHandler);
  }
}
