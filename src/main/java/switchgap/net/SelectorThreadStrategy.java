package switchgap.net;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Handles each event on its selector thread. An accept that fails is retried after a delay: Grizzly
 * 4.0.2 ({@code TCPNIOTransport.fireIOEvent}, {@code SERVER_ACCEPT}) ignores the failure and leaves
 * the event ready, so the selector would spin for as long as no file descriptors or memory are
 * available.
 */
@SuppressWarnings("rawtypes") // Grizzly declares its connections raw.
final class SelectorThreadStrategy implements IOStrategy {
  private static final long ACCEPT_RETRY_DELAY_MILLIS = 20;

  /**
   * Maximum number of connections accepted in one iteration. With only one per iteration, clients
   * that connect simultaneously would wait for one iteration each.
   */
  private static final int MAX_ACCEPTS_PER_ITERATION = 8;

  /** Maximum time for which the client that a selector thread is accepting may have waited. */
  private static final ThreadLocal<Duration> MAX_ACCEPT_DELAY =
      ThreadLocal.withInitial(() -> Duration.ZERO);

  private final IOStrategy sameThread = SameThreadIOStrategy.getInstance();

  @Override
  public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
    return executeIoEvent(connection, event, true);
  }

  @Override
  public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled)
      throws IOException {
    if (event != IOEvent.SERVER_ACCEPT) {
      return sameThread.executeIoEvent(connection, event, enabled);
    }
    accept((TCPNIOServerConnection) connection);
    return true;
  }

  private static void accept(TCPNIOServerConnection listener) throws IOException {
    AcceptStall stall = AcceptStall.of(listener);
    try {
      stall.eventLoopResumed(EventLoopIterations.maxReadDelay());
      for (int acceptCount = 0;
          acceptCount < MAX_ACCEPTS_PER_ITERATION && !stall.isPaused();
          acceptCount++) {
        acceptOne(listener, stall);
      }
    } catch (IOException e) {
      if (listener.isOpen()) {
        stall.acceptFailed();
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
        TimerThread.EXECUTOR.schedule(
            () -> resumeAccepting(listener), ACCEPT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Accepts a client on the listener's selector thread. Has no effect if none is waiting. */
  static void acceptOne(TCPNIOServerConnection listener, AcceptStall stall) throws IOException {
    MAX_ACCEPT_DELAY.set(stall.maxAcceptDelay());
    listener.onAccept();
    stall.acceptSucceeded();
  }

  /** Maximum time for which the client that the calling thread is accepting may have waited. */
  static Duration maxAcceptDelay() {
    return MAX_ACCEPT_DELAY.get();
  }

  private static Void resumeAccepting(TCPNIOServerConnection listener) throws IOException {
    listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
    return null;
  }

  @Override
  public Executor getThreadPoolFor(Connection connection, IOEvent event) {
    return null;
  }

  @Override
  public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
    return null;
  }
}
