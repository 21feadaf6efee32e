package switchgap.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * A Grizzly transport with its selector threads, shared by the servers and the client connections
 * of a process. Each connection belongs to one selector thread, which runs its callbacks.
 */
public final class NetworkTransport implements AutoCloseable {
  /** Default size of the kernel's accept queue, for servers that do not specify one. */
  static final int LISTEN_BACKLOG = 4096;

  /** Maximum size of one read. Grizzly's default is the size of the socket's own buffer. */
  static final int READ_BUFFER_BYTES = 16 << 10;

  /**
   * Maximum time for which a thread waits for reads after a stall. Event loops that run normally
   * need far less.
   */
  private static final Duration MAX_READ_WAIT = Duration.ofMillis(200);

  final TCPNIOTransport transport;
  private final StallTrackingSelectorHandler selectorHandler = new StallTrackingSelectorHandler();

  /**
   * Starts the selector threads as daemon threads.
   *
   * @param selectors number of selector threads
   * @param name prefix of the threads' names
   * @throws IOException if the selectors can't be opened
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
    transport.setSelectorHandler(selectorHandler);
    transport.start();
  }

  /**
   * Blocks until all bytes that are in the sockets now have been read, or until a timeout. Call it
   * after a stall of the process, before treating any peer as silent or overdue. Must not be called
   * on a selector thread.
   */
  public void awaitPendingReads() {
    try {
      selectorHandler.awaitPendingReads(MAX_READ_WAIT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes all connections and stops the threads. */
  @Override
  public synchronized void close() {
    try {
      transport.shutdownNow();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
