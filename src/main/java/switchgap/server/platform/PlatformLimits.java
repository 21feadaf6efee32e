package switchgap.server.platform;

import java.time.Duration;
import switchgap.config.PropertyRouterSettings;
import switchgap.protocol.resp.RespConnectionLimits;
import switchgap.protocol.thrift.ClientConnectionLimits;
import switchgap.router.CoreLimits;

/**
 * Derives the router's limits from the available file descriptors, the heap size and the settings.
 * Client connections and worker connections have a quota of the descriptors each; a quarter of all
 * descriptors is left for files, selectors, the listener and the event stream.
 */
final class PlatformLimits {
  /** Interval between checks for overdue messages and exchanges. */
  static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

  // Each quota of connections is the number of descriptors divided by one of these.
  private static final int CLIENT_CONNECTION_DIVISOR = 3;

  /** Quota of connections beyond the clients' quota, until the event loop has evicted others. */
  private static final int EXCESS_CONNECTION_DIVISOR = 12;

  private static final int WORKER_CONNECTION_DIVISOR = 3;

  /** Maximum number of connections to one worker, within the quota for worker connections. */
  private static final int MAX_CONNECTIONS_PER_WORKER = 6;

  /** Maximum number of exchanges that wait for a connection to one worker. */
  private static final int MAX_WAITING_EXCHANGES = 256;

  /** Maximum number of functions that the router tracks at a time. */
  private static final int MAX_FUNCTIONS = 4096;

  private static final int MAX_PENDING_REQUESTS = 4096;

  /**
   * The heap size divided by this limits the bytes of queued client messages and, separately, of
   * the requests in flight.
   */
  private static final int BUFFER_HEAP_DIVISOR = 16;

  /** Those bytes divided by this limit the unread replies of one client connection. */
  private static final int UNREAD_REPLY_DIVISOR = 4;

  /** Maximum time for a complete message to arrive. */
  private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(2);

  private final PropertyRouterSettings settings;
  private final int maxSockets;

  /**
   * Creates limits for the given settings.
   *
   * @param maxSockets maximum number of file descriptors that the router may use
   */
  PlatformLimits(PropertyRouterSettings settings, int maxSockets) {
    this.settings = settings;
    this.maxSockets = maxSockets;
  }

  CoreLimits core() {
    return new CoreLimits(settings.loadCommandTimeout(), settings.connectTimeout(), MAX_FUNCTIONS);
  }

  RespConnectionLimits workerConnections() {
    // Connections must be closed before the worker closes them at its own idle timeout.
    Duration idleTimeout = settings.connectionIdleTimeout().dividedBy(2);
    return new RespConnectionLimits(
        descriptorQuota(WORKER_CONNECTION_DIVISOR),
        MAX_CONNECTIONS_PER_WORKER,
        MAX_WAITING_EXCHANGES,
        settings.attemptsPerConnection(),
        settings.connectTimeout(),
        idleTimeout);
  }

  ClientConnectionLimits clientConnections() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    int bufferBytes = (int) Math.min(Integer.MAX_VALUE, heapBytes / BUFFER_HEAP_DIVISOR);
    return new ClientConnectionLimits(
        descriptorQuota(CLIENT_CONNECTION_DIVISOR),
        descriptorQuota(EXCESS_CONNECTION_DIVISOR),
        bufferBytes / UNREAD_REPLY_DIVISOR,
        bufferBytes,
        Math.min(settings.maxPendingRequests(), MAX_PENDING_REQUESTS),
        RECEIVE_TIMEOUT,
        SWEEP_INTERVAL);
  }

  private int descriptorQuota(int divisor) {
    return Math.max(1, maxSockets / divisor);
  }
}
