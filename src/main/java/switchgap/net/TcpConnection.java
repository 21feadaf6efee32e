package switchgap.net;

import java.io.IOException;
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

/**
 * A TCP connection that passes received bytes to its listener and counts the bytes that have not
 * been written. Thread-safe, except for members that are documented as used only on the selector
 * thread.
 */
public final class TcpConnection {
  /**
   * Receives the events of connections. {@code opened} and {@code received} run on the connection's
   * selector thread, {@code closed} on the thread that closes the connection first, as its last
   * event.
   */
  public interface Listener {
    /** The connection is open. */
    void opened(TcpConnection connection);

    /** Bytes arrived; the buffer is valid only until this method returns. */
    void received(TcpConnection connection, ByteBuffer bytes);

    /** All bytes of one call of {@link #send} have been written. Runs on any thread. */
    default void written(TcpConnection connection, int byteCount) {}

    /** The connection was closed by this side or by the peer. */
    void closed(TcpConnection connection, CloseCause cause);
  }

  private static final AtomicLong LAST_ID = new AtomicLong();

  private final String id = "c" + LAST_ID.incrementAndGet();
  private final Connection<?> connection;
  private final Listener listener;
  private final Duration maxAcceptDelay;

  /** Used only on the selector thread. */
  private boolean hasReceived;

  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger unsentBytes = new AtomicInteger();
  private final AtomicInteger unsentWrites = new AtomicInteger();

  private volatile Object attachment;

  /**
   * Creates an open connection.
   *
   * @param maxAcceptDelay maximum time for which the client may have waited to be accepted
   */
  TcpConnection(Connection<?> connection, Listener listener, Duration maxAcceptDelay) {
    this.connection = connection;
    this.maxAcceptDelay = maxAcceptDelay;
    this.listener = listener;
  }

  /**
   * Returns the maximum time for which the bytes that are being delivered may have been waiting in
   * the kernel: in the socket while the event loop was stalled, or on a connection that was not
   * accepted while accepts were stalled. Zero if there was no stall. Must be called only from
   * {@link Listener#received}.
   */
  public Duration maxReceiveDelay() {
    Duration readDelay = EventLoopIterations.maxReadDelay();
    boolean waitedForAccept = !hasReceived && maxAcceptDelay.compareTo(readDelay) > 0;
    return waitedForAccept ? maxAcceptDelay : readDelay;
  }

  /** Passes received bytes to the listener. Called on the selector thread. */
  void received(ByteBuffer bytes) {
    listener.received(this, bytes);
    hasReceived = true;
  }

  /** Attaches the listener's state to this connection, and replaces the previous attachment. */
  public void attach(Object object) {
    attachment = object;
  }

  /** The attached object, or null. */
  public Object attachment() {
    return attachment;
  }

  /** The connection's name in logs, unique within the process. */
  public String id() {
    return id;
  }

  /** Whether neither side has closed the connection. */
  public boolean isOpen() {
    return !closed.get() && connection.isOpen();
  }

  /** Whether the listener has been, or is being, notified of the connection's end. */
  boolean isClosed() {
    return closed.get();
  }

  /** The number of bytes that were passed to {@link #send} and have not been written. */
  public int unsentBytes() {
    return unsentBytes.get();
  }

  /** The number of calls of {@link #send} whose bytes have not been written. */
  public int unsentWrites() {
    return unsentWrites.get();
  }

  /**
   * Queues bytes to be written. The array must not be modified afterwards. Can be called on any
   * thread.
   *
   * @return false if the connection is closed; no byte is sent then
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
            listener.written(TcpConnection.this, bytes.length);
          }

          @Override
          public void failed(Throwable cause) {
            close(CloseReason.Transport.WRITE_FAILED);
          }
        });
    return true;
  }

  /**
   * Stops reading, so that the peer's bytes stay in the kernel and its writes block once the
   * buffers are full. While reading is paused, a close by the peer is not noticed. Must be called
   * only from {@link Listener#received}.
   */
  public void pauseReading() {
    try {
      connection.disableIOEvent(IOEvent.READ);
    } catch (IOException | CancelledKeyException e) {
      return; // The connection is closed.
    }
  }

  /** Resumes reading after {@link #pauseReading}. Can be called on any thread. */
  public void resumeReading() {
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (IOException | CancelledKeyException e) {
      return; // The connection is closed.
    }
  }

  /**
   * Closes the connection unless it is already closed, and passes the reason to the listener. Can
   * be called on any thread.
   */
  public void close(CloseReason reason) {
    close(CloseCause.of(reason));
  }

  /**
   * Closes the connection unless it is already closed, and passes the cause to the listener. Can be
   * called on any thread.
   */
  public void close(CloseCause cause) {
    if (closed.compareAndSet(false, true)) {
      ConnectionCloser.close(connection);
      listener.closed(this, cause);
    }
  }

  /** Returns the filter chain of plain TCP connections, for clients and servers. */
  static FilterChain filterChain(TcpConnectionFilter filter) {
    return filterChain(new SocketFilter(), filter);
  }

  /** Returns a filter chain that reads and writes through the given socket filter. */
  static FilterChain filterChain(SocketFilter socketFilter, TcpConnectionFilter filter) {
    return FilterChainBuilder.stateless().add(socketFilter).add(filter).build();
  }
}
