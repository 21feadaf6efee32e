package switchgap.net;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;

/**
 * A TCP connection that passes on bytes as they arrive and counts those that are not written yet.
 * Thread-safe, but for what is said to belong to its selector thread.
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

    /** The connection ended, by this side or the other. */
    void closed(TcpConnection connection, CloseCause cause);
  }

  private static final AtomicLong LAST_ID = new AtomicLong();

  private final String id = "c" + LAST_ID.incrementAndGet();
  private final Connection<?> connection;
  private final Listener listener;
  private final Duration maxAcceptDelay;

  /** Belongs to the selector thread. */
  private boolean hasReceived;

  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger unsentBytes = new AtomicInteger();
  private final AtomicInteger unsentWrites = new AtomicInteger();

  private volatile Object attachment;

  /**
   * A connection that is open.
   *
   * @param maxAcceptDelay how long its client may have waited to be accepted, at most
   */
  TcpConnection(Connection<?> connection, Listener listener, Duration maxAcceptDelay) {
    this.connection = connection;
    this.maxAcceptDelay = maxAcceptDelay;
    this.listener = listener;
  }

  /**
   * Returns how long the bytes that are being passed on may have been waiting in the kernel, at
   * most: with the event loop stalled in their socket, with accepts stalled in a connection that
   * was not accepted. Zero unless there was a stall. To be called by {@link Listener#received}
   * alone.
   */
  public Duration maxReceiveDelay() {
    Duration readDelay = EventLoopIterations.maxReadDelay();
    boolean waitedForAccept = !hasReceived && maxAcceptDelay.compareTo(readDelay) > 0;
    return waitedForAccept ? maxAcceptDelay : readDelay;
  }

  /** Passes on bytes that were read. On the selector thread. */
  void received(ByteBuffer bytes) {
    listener.received(this, bytes);
    hasReceived = true;
  }

  /** Attaches an object by which the listener finds its state again; it replaces any before. */
  public void attach(Object object) {
    attachment = object;
  }

  /** The attached object, or null. */
  public Object attachment() {
    return attachment;
  }

  /** Its name in the log, unique in the process. */
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
   * @return false, and no byte is sent, if the connection is closed
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

  /** Closes the connection, unless it is closed; the listener gets this reason. Any thread. */
  public void close(CloseReason reason) {
    close(CloseCause.of(reason));
  }

  /** Closes the connection, unless it is closed; the listener gets this cause. Any thread. */
  public void close(CloseCause cause) {
    if (closed.compareAndSet(false, true)) {
      ConnectionCloser.close(connection);
      listener.closed(this, cause);
    }
  }

  /** The filter chain of plain TCP connections, for both sides. */
  static FilterChain filterChain(TcpConnectionFilter filter) {
    return FilterChainBuilder.stateless().add(new SocketFilter()).add(filter).build();
  }
}
