package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * A TCP connection that hands on bytes as they arrive and counts those that are not written yet.
 */
public final class TcpConnection {
  /**
   * Hears of connections, on a selector thread. After {@code closed} nothing comes of that
   * connection.
   */
  public interface Listener {
    /** The connection is open. */
    void opened(TcpConnection connection);

    /** Bytes arrived; the buffer is valid only until this method returns. */
    void received(TcpConnection connection, ByteBuffer bytes);

    /** The connection ended, by this side or the other. */
    void closed(TcpConnection connection, CloseCause cause);
  }

  private static final AtomicLong LAST_ID = new AtomicLong();

  private final String id = "c" + LAST_ID.incrementAndGet();
  private final Connection<?> connection;
  private final Listener listener;
  private final Duration acceptDelay;
  private boolean hasRead;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger unsentBytes = new AtomicInteger();
  private final AtomicInteger unsentWrites = new AtomicInteger();

  /** Whatever the listener keeps for this connection. */
  public volatile Object attachment;

  /**
   * A connection that is open.
   *
   * @param acceptDelay how long its client may have waited to be accepted
   */
  TcpConnection(Connection<?> connection, Listener listener, Duration acceptDelay) {
    this.connection = connection;
    this.acceptDelay = acceptDelay;
    this.listener = listener;
  }

  /**
   * How long the bytes that are being handed on may have waited, because the process was held up or
   * did not accept; zero as a rule. For the listener, while bytes are handed on.
   */
  public Duration maxReceiveDelay() {
    Duration readDelay = EventLoopIterations.maxReadDelay();
    boolean waitedForAccept = !hasRead && acceptDelay.compareTo(readDelay) > 0;
    return waitedForAccept ? acceptDelay : readDelay;
  }

  /** Hands on bytes that were read. On the selector thread. */
  void received(ByteBuffer bytes) {
    listener.received(this, bytes);
    hasRead = true;
  }

  /** Its name in the log, unique in the process. */
  public String id() {
    return id;
  }

  /** Whether neither side has closed the connection. */
  public boolean isOpen() {
    return !closed.get() && connection.isOpen();
  }

  /** Whether this side has closed the connection or has taken note of its end. */
  boolean isClosed() {
    return closed.get();
  }

  /** Number of bytes given to {@link #send} and not written yet. */
  public int unsentBytes() {
    return unsentBytes.get();
  }

  /** Number of calls of {@link #send} whose bytes are not written yet. */
  public int unsentWrites() {
    return unsentWrites.get();
  }

  /**
   * Queues bytes to be written; any thread. The array must not be changed from then on.
   *
   * @return false, and no byte goes out, when the connection is closed
   */
  public boolean send(byte[] bytes) {
    if (!isOpen()) {
      return false;
    }
    unsentBytes.addAndGet(bytes.length);
    unsentWrites.incrementAndGet();
    RawBytesWriter.write(
        connection,
        bytes,
        new EmptyCompletionHandler<>() {
          @Override
          public void completed(WriteResult<WritableMessage, SocketAddress> result) {
            unsentBytes.addAndGet(-bytes.length);
            unsentWrites.decrementAndGet();
          }

          @Override
          public void failed(Throwable cause) {
            close(CloseReason.Transport.WRITE_FAILED);
          }
        });
    return true;
  }

  /**
   * Closes the connection, unless it is closed; the listener hears of it with this reason. Any
   * thread.
   */
  public void close(CloseReason reason) {
    close(CloseCause.of(reason));
  }

  /**
   * Closes the connection, unless it is closed; the listener hears of it with this cause. Any
   * thread.
   */
  public void close(CloseCause cause) {
    if (closed.compareAndSet(false, true)) {
      ConnectionCloser.close(connection);
      listener.closed(this, cause);
    }
  }

  private static FilterChain filterChain(TcpConnectionFilter filter) {
    return FilterChainBuilder.stateless().add(new SocketFilter()).add(filter).build();
  }

  /**
   * Begins to accept connections.
   *
   * @param port the port to listen on; 0 takes any free one
   * @param backlog how many connections may wait to be accepted
   * @throws IOException when the address can't be listened on
   */
  public static Server listen(
      NetworkTransport transport, String host, int port, int backlog, Listener listener)
      throws IOException {
    TCPNIOBindingHandler binding =
        TCPNIOBindingHandler.builder(transport.transport)
            .processor(filterChain(new TcpConnectionFilter(listener)))
            .build();
    return new Server(binding.bind(new InetSocketAddress(host, port), backlog));
  }

  /** A listening socket. */
  public static final class Server implements AutoCloseable {
    private final TCPNIOServerConnection connection;

    private Server(TCPNIOServerConnection connection) {
      this.connection = connection;
    }

    /** The port that is listened on. */
    public int port() {
      return ((InetSocketAddress) connection.getLocalAddress()).getPort();
    }

    /** Whether clients may wait in the system's backlog, as nothing was accepted a moment ago. */
    public boolean isAcceptStalled() {
      return !AcceptStall.of(connection).maxAcceptDelay().isZero();
    }

    /** Leaves further connections to the system's backlog, until {@link #resume}. Any thread. */
    public void pause() {
      AcceptStall.of(connection).pause();
      try {
        connection.disableIOEvent(IOEvent.SERVER_ACCEPT);
      } catch (IOException | CancelledKeyException e) {
        return; // it is closed, and accepts nothing anyhow
      }
    }

    /** Accepts connections again. Any thread. */
    public void resume() {
      AcceptStall.of(connection).resume();
      try {
        connection.enableIOEvent(IOEvent.SERVER_ACCEPT);
      } catch (IOException | CancelledKeyException e) {
        return; // it is closed
      }
    }

    /** Stops accepting connections; open ones stay. */
    @Override
    public void close() {
      ConnectionCloser.close(connection);
    }
  }

  /** Opens any number of connections that share one listener and one filter chain. */
  public static final class Factory {
    private final TcpConnectionFilter filter;
    private final TCPNIOConnectorHandler connector;

    /** A factory of connections that this listener hears of. */
    public Factory(NetworkTransport transport, Listener listener) {
      filter = new TcpConnectionFilter(listener);
      connector =
          TCPNIOConnectorHandler.builder(transport.transport)
              .processor(filterChain(filter))
              .build();
    }

    /** Begins to open a connection; the callback hears once, within the timeout, how that ended. */
    public void connect(
        InetSocketAddress remote,
        Duration timeout,
        Connector.ConnectCallback<TcpConnection> callback) {
      Connector.connect(
          connector,
          remote,
          null,
          timeout,
          callback,
          new Connector.ConnectionAdapter<>(
              filter::connectionOf,
              connection -> connection.close(CloseReason.Transport.OPENED_TOO_LATE)));
    }
  }
}
