package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.CancelledKeyException;
import java.time.Duration;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * A listening TCP socket that passes its connections to a {@link TcpConnection.Listener}.
 * Thread-safe.
 */
public final class TcpServer implements AutoCloseable {
  private final TCPNIOServerConnection socket;
  private final ListenerCloser closer;

  private TcpServer(TCPNIOServerConnection socket) {
    this.socket = socket;
    this.closer = new ListenerCloser(socket);
  }

  /**
   * Starts to accept connections.
   *
   * @param port the port to listen on, or 0 for any free port
   * @param backlog maximum number of connections that wait to be accepted
   * @throws IOException if the socket can't be bound to the address
   */
  public static TcpServer listen(
      NetworkTransport transport,
      String host,
      int port,
      int backlog,
      TcpConnection.Listener listener)
      throws IOException {
    return listen(transport, host, port, backlog, NetworkTransport.READ_BUFFER_BYTES, listener);
  }

  /**
   * Starts to accept connections whose reads are limited to {@code maxReadBytes} each; see {@link
   * #listen(NetworkTransport, String, int, int, TcpConnection.Listener)}.
   */
  public static TcpServer listen(
      NetworkTransport transport,
      String host,
      int port,
      int backlog,
      int maxReadBytes,
      TcpConnection.Listener listener)
      throws IOException {
    SocketFilter socketFilter = new SocketFilter(maxReadBytes);
    TCPNIOBindingHandler binding =
        TCPNIOBindingHandler.builder(transport.transport)
            .processor(TcpConnection.filterChain(socketFilter, new TcpConnectionFilter(listener)))
            .build();
    return new TcpServer(binding.bind(new InetSocketAddress(host, port), backlog));
  }

  /** The port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) socket.getLocalAddress()).getPort();
  }

  /**
   * Whether clients may be waiting in the kernel's accept queue because accepting is stalled, or
   * was stalled until recently, by failed accepts, by {@link #pause} or by a stall of the event
   * loop.
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
      return; // The socket is closed and accepts nothing.
    }
  }

  /** Resumes accepting connections after {@link #pause}. */
  public void resume() {
    AcceptStall.of(socket).resume();
    try {
      socket.enableIOEvent(IOEvent.SERVER_ACCEPT);
    } catch (IOException | CancelledKeyException e) {
      return; // The socket is closed.
    }
  }

  /**
   * Accepts the clients that wait in the kernel's accept queue, then stops accepting. Open
   * connections are not closed. Must not be called on a selector thread.
   *
   * @param timeout maximum time to wait for the selector thread
   * @return whether accepting has stopped; false if clients may still be waiting, because accepts
   *     fail or are paused or because the selector thread is blocked
   */
  public boolean stopAccepting(Duration timeout) {
    return closer.close(timeout);
  }

  /**
   * Stops accepting connections at once. Clients that wait in the kernel's accept queue are reset.
   * Open connections are not closed.
   */
  @Override
  public void close() {
    ConnectionCloser.close(socket);
  }
}
