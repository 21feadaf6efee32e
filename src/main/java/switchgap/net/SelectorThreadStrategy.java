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
 * 4.0.2 ({@code TCPNIOTransport.fireIOEvent}, {@code SERVER_ACCEPT}) drops the failure and leaves
 * the event ready, so that the selector would spin for as long as descriptors or memory are short.
 */
@SuppressWarnings("rawtypes") // Grizzly declares its connections raw
final class SelectorThreadStrategy implements IOStrategy {
  private static final long ACCEPT_RETRY_DELAY_MILLIS = 20;

  /**
   * Accepted one per iteration, clients that connect together would wait for as many iterations.
   */
  private static final int MAX_ACCEPTS_PER_ITERATION = 8;

  /** How long the client that a selector thread is accepting may have waited, at most. */
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
      for (int accepts = 0; accepts < MAX_ACCEPTS_PER_ITERATION && !stall.isPaused(); accepts++) {
        MAX_ACCEPT_DELAY.set(stall.maxAcceptDelay());
        listener.onAccept(); // does nothing if no client waits
        stall.acceptSucceeded();
      }
    } catch (IOException e) {
      if (listener.isOpen()) {
        stall.acceptFailed();
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
        TimerThread.EXECUTOR.schedule(
            () -> acceptAgain(listener), ACCEPT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  /** How long the client that the calling selector thread is accepting may have waited, at most. */
  static Duration maxAcceptDelay() {
    return MAX_ACCEPT_DELAY.get();
  }

  private static Void acceptAgain(TCPNIOServerConnection listener) throws IOException {
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
