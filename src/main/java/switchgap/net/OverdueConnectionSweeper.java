package switchgap.net;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Closes connections of an {@link HttpServer} whose current or next request takes too long. This
 * protects against clients that never complete a request, for example by sending one byte a minute,
 * by sending half of a request head, or by sending nothing at all. Such connections would stay open
 * indefinitely and use up the connection limit. Stalls of the process are excluded from the
 * measured time.
 *
 * <p>Sweeps run on the {@link TimerThread}.
 */
final class OverdueConnectionSweeper implements AutoCloseable {
  private static final int SWEEPS_PER_RECEIVE_TIMEOUT = 4;
  private static final long MIN_INTERVAL_MILLIS = 10;

  private final NetworkTransport transport;
  private final HttpServerLimits limits;
  private final Set<Connection<?>> openConnections;
  private final Attribute<ServerConnectionState> states;
  private final StallDetector stallDetector;
  private final StallHistory stalls = new StallHistory();
  private final ScheduledFuture<?> schedule;

  /** Starts the periodic sweeps. {@code openConnections} may change at any time. */
  OverdueConnectionSweeper(
      NetworkTransport transport,
      HttpServerLimits limits,
      Set<Connection<?>> openConnections,
      Attribute<ServerConnectionState> states) {
    this.transport = transport;
    this.limits = limits;
    this.openConnections = openConnections;
    this.states = states;
    long intervalMillis =
        Math.max(
            MIN_INTERVAL_MILLIS, limits.receiveTimeout().toMillis() / SWEEPS_PER_RECEIVE_TIMEOUT);
    stallDetector =
        new StallDetector(Duration.ofMillis(intervalMillis), Duration.ofNanos(System.nanoTime()));
    schedule =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::sweep, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    Duration now = Duration.ofNanos(System.nanoTime());
    Duration stall = stallDetector.recordCheck(now);
    stalls.add(now, stall);
    if (!stall.isZero()) {
      transport.awaitPendingReads(); // Requests may have arrived during the stall.
    }
    for (Connection<?> connection : openConnections) {
      if (states.get(connection).isOverdue(now, limits, stalls)) {
        ConnectionCloser.close(connection);
      }
    }
  }

  @Override
  public void close() {
    schedule.cancel(false);
  }
}
