package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.CancelledKeyException;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * A listening TCP socket, whose connections are handed to a {@link TcpConnection.Listener}.
 * Thread-safe.
 */
public final class TcpServer implements AutoCloseable {
  private final TCPNIOServerConnection socket;

  private TcpServer(TCPNIOServerConnection socket) {
    this.socket = socket;
  }

  /**
   * Begins to accept connections.
   *
   * @param port the port to listen on; 0 takes any free one
   * @param backlog how many connections may wait to be accepted
   * @throws IOException if the address can't be listened on
   */
  public static TcpServer listen(
      NetworkTransport transport,
      String host,
      int port,
      int backlog,
      TcpConnection.Listener listener)
      throws IOException {
    TCPNIOBindingHandler binding =
        TCPNIOBindingHandler.builder(transport.transport)
            .processor(TcpConnection.filterChain(new TcpConnectionFilter(listener)))
            .build();
    return new TcpServer(binding.bind(new InetSocketAddress(host, port), backlog));
  }

  /** The port that is listened on. */
  public int port() {
    return ((InetSocketAddress) socket.getLocalAddress()).getPort();
  }

  /**
   * Whether clients may be waiting in the kernel's accept queue, since accepting is or just was
   * stalled: by failed accepts, by {@link #pause}, or with the event loop.
   */
  public boolean isAcceptStalled() {
    return !AcceptStall.of(socket).maxAcceptDelay().isZero();
  }

  /** Leaves further connections in the kernel's accept queue, until {@link #resume}. */
  public void pause() {
    AcceptStall.of(socket).pause();
    try {
      socket.disableIOEvent(IOEvent.SERVER_ACCEPT);
    } catch (IOException | CancelledKeyException e) {
      return; // it is closed, and accepts nothing anyhow
    }
  }

  /** Accepts connections again. */
  public void resume() {
    AcceptStall.of(socket).resume();
    try {
      socket.enableIOEvent(IOEvent.SERVER_ACCEPT);
    } catch (IOException | CancelledKeyException e) {
      return; // it is closed
    }
  }

  /** Stops accepting connections; open ones stay. */
  @Override
  public void close() {
    ConnectionCloser.close(socket);
  }
}
