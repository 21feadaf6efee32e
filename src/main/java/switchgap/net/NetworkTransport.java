package switchgap.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * One Grizzly transport with its selector threads, shared by the servers and the client connections
 * of a process. Every callback of a connection runs on its selector thread.
 */
public final class NetworkTransport implements AutoCloseable {
  /**
   * Connections that the system may accept ahead of the process, for a server that states no
   * number.
   */
  static final int LISTEN_BACKLOG = 4096;

  /** Bytes read at a time; Grizzly's default is as large as the socket's own buffer. */
  static final int READ_BUFFER_BYTES = 16 << 10;

  /** Time for which a thread waits for reads after a stall; running event loops need far less. */
  private static final Duration MAX_READ_WAIT = Duration.ofMillis(200);

  final TCPNIOTransport transport;
  private final StallTrackingSelectorHandler eventLoops = new StallTrackingSelectorHandler();

  /**
   * Starts the selector threads, as daemons.
   *
   * @param selectors number of selector threads
   * @param name prefix of the threads' names
   * @throws IOException when the selectors can't be opened
   */
  public NetworkTransport(int selectors, String name) throws IOException {
    ThreadPoolConfig selectorPool = ThreadPoolConfig.defaultConfig().copy();
    selectorPool
        .setPoolName(name)
        .setCorePoolSize(selectors)
        .setMaxPoolSize(selectors)
        .setDaemon(true);
    TCPNIOTransportBuilder builder = TCPNIOTransportBuilder.newInstance();
    builder.setIOStrategy(new SelectorThreadStrategy());
    builder.setSelectorThreadPoolConfig(selectorPool);
    builder.setSelectorRunnersCount(selectors);
    builder.setTcpNoDelay(true);
    builder.setKeepAlive(false);
    builder.setReuseAddress(true);
    builder.setServerConnectionBackLog(LISTEN_BACKLOG);
    builder.setReadBufferSize(READ_BUFFER_BYTES);
    transport = builder.build();
    transport.setSelectorHandler(eventLoops);
    transport.start();
  }

  /**
   * Blocks until all bytes that are in the sockets now have been read, for a bounded time. To be
   * called after a stall of the process, before any peer is judged silent or overdue. Must not be
   * called on a selector thread.
   */
  public void awaitPendingReads() {
    try {
      eventLoops.awaitPendingReads(MAX_READ_WAIT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes all connections and ends the threads. */
  @Override
  public synchronized void close() {
    try {
      transport.shutdownNow();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
