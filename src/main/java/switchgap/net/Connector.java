package switchgap.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/**
 * Opens connections within a timeout. An attempt that takes longer is cancelled, so that a peer
 * that never replies does not occupy a file descriptor.
 */
public final class Connector {
  /**
   * Receives the outcome of opening a connection. Exactly one of the two methods is called, exactly
   * once, on a selector thread or on the {@link TimerThread}.
   *
   * @param <C> the connection's type
   */
  public interface ConnectCallback<C> {
    /** The connection is open. */
    void connected(C connection);

    /** The connection could not be opened within the timeout. */
    void failed(ConnectFailure failure);
  }

  /**
   * Converts an open Grizzly connection to a connection type of this package.
   *
   * @param <C> the connection's type
   * @param wrap creates the connection
   * @param close closes a connection that opened after the timeout
   */
  @SuppressWarnings("rawtypes") // Grizzly declares its connections raw.
  record ConnectionAdapter<C>(Function<Connection, C> wrap, Consumer<C> close) {}

  /** Maximum time that an event loop needs to poll its sockets after a stall of the process. */
  private static final Duration MAX_POLL_DELAY_AFTER_STALL = Duration.ofMillis(50);

  private Connector() {}

  /**
   * Starts to open a connection and returns immediately.
   *
   * @param local the local address to connect from, or null for any
   */
  @SuppressWarnings("rawtypes") // Grizzly declares its connections raw.
  static <C> void connect(
      TCPNIOConnectorHandler connector,
      InetSocketAddress remote,
      InetSocketAddress local,
      Duration timeout,
      ConnectCallback<C> callback,
      ConnectionAdapter<C> adapter) {
    Attempt<C> attempt = new Attempt<>(timeout, callback, adapter);
    GrizzlyFuture<Connection> future = connector.connect(remote, local);
    attempt.started(future);
    future.addCompletionHandler(attempt);
  }

  /**
   * One attempt to connect. The thread that removes the callback from its reference decides the
   * outcome, so that only one outcome is reported.
   */
  @SuppressWarnings("rawtypes") // Grizzly declares its connections raw.
  private static final class Attempt<C> extends EmptyCompletionHandler<Connection> {
    private final AtomicReference<ConnectCallback<C>> pendingCallback;
    private final AtomicReference<GrizzlyFuture<Connection>> pendingFuture =
        new AtomicReference<>();
    private final ConnectionAdapter<C> adapter;
    private final Duration timeout;
    private final long dueNanos;
    private volatile ScheduledFuture<?> timer;

    Attempt(Duration timeout, ConnectCallback<C> callback, ConnectionAdapter<C> adapter) {
      this.pendingCallback = new AtomicReference<>(callback);
      this.adapter = adapter;
      this.timeout = timeout;
      this.dueNanos = System.nanoTime() + timeout.toNanos();
      this.timer =
          TimerThread.EXECUTOR.schedule(
              this::timerFired, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    void started(GrizzlyFuture<Connection> future) {
      pendingFuture.set(future);
      if (pendingCallback.get() == null) { // The attempt timed out before its future was set.
        future.cancel(true);
      }
    }

    /**
     * Called when the timer fires. After a stall of the process, the connection may be open
     * although the event loop has not polled it yet, so the event loop gets extra time to do so.
     */
    private void timerFired() {
      long latenessNanos = System.nanoTime() - dueNanos;
      if (latenessNanos < StallDetector.THRESHOLD.toNanos()) {
        timedOut();
      } else if (pendingCallback.get() != null) {
        timer =
            TimerThread.EXECUTOR.schedule(
                this::timedOut, MAX_POLL_DELAY_AFTER_STALL.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void timedOut() {
      fail(
          ConnectFailure.Reason.TIMED_OUT,
          "connection not opened within " + timeout.toMillis() + " ms");
      GrizzlyFuture<Connection> future = pendingFuture.get();
      if (future != null) {
        future.cancel(true);
      }
    }

    private void fail(ConnectFailure.Reason reason, String detail) {
      ConnectCallback<C> callback = pendingCallback.getAndSet(null);
      if (callback != null) {
        callback.failed(new ConnectFailure(reason, detail));
      }
    }

    @Override
    public void completed(Connection opened) {
      timer.cancel(false);
      C connection = adapter.wrap().apply(opened);
      ConnectCallback<C> callback = pendingCallback.getAndSet(null);
      if (callback == null) {
        adapter.close().accept(connection);
      } else {
        callback.connected(connection);
      }
    }

    @Override
    public void failed(Throwable cause) {
      timer.cancel(false);
      fail(ConnectFailure.Reason.SYSTEM_ERROR, String.valueOf(cause.getMessage()));
    }

    @Override
    public void cancelled() {
      fail(ConnectFailure.Reason.CANCELLED, "cancelled");
    }
  }
}
