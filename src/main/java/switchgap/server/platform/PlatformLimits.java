package switchgap.server.platform;

import java.time.Duration;
import switchgap.config.PropertyRouterSettings;
import switchgap.protocol.resp.RespConnectionLimits;
import switchgap.protocol.thrift.ClientConnectionLimits;
import switchgap.router.CoreLimits;

/**
 * The router's limits, out of the descriptors, the heap and the settings that it is given. Clients
 * and workers have a quota of the descriptors each; a quarter is left for files, selectors, the
 * listener and the event stream.
 */
final class PlatformLimits {
  /** Between the periodic checks of overdue messages and exchanges. */
  static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

  // Quotas: the descriptors divided by these.
  private static final int CLIENT_CONNECTION_DIVISOR = 3;

  /** For clients that connect before the event loop has evicted others. */
  private static final int EXCESS_CONNECTION_DIVISOR = 12;

  private static final int WORKER_CONNECTION_DIVISOR = 3;

  /** Connections to one worker, descriptors allowing. */
  private static final int MAX_CONNECTIONS_PER_WORKER = 6;

  /** Exchanges that wait at one worker while a connection to it is opened. */
  private static final int MAX_WAITING_EXCHANGES = 256;

  /** Functions known at a time. */
  private static final int MAX_FUNCTIONS = 4096;

  private static final int MAX_PENDING_REQUESTS = 4096;

  /** The heap divided by this is for clients' messages and for unread responses. */
  private static final int BUFFER_HEAP_DIVISOR = 16;

  /** Those bytes divided by this are for one connection's unread responses. */
  private static final int UNREAD_RESPONSE_DIVISOR = 4;

  /** Time for a complete message to arrive. */
  private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(2);

  private final PropertyRouterSettings settings;
  private final int maxSockets;

  /**
   * Limits under these settings.
   *
   * @param maxSockets descriptors that the router may use
   */
  PlatformLimits(PropertyRouterSettings settings, int maxSockets) {
    this.settings = settings;
    this.maxSockets = maxSockets;
  }

  CoreLimits core() {
    return new CoreLimits(settings.loadCommandTimeout(), settings.connectTimeout(), MAX_FUNCTIONS);
  }

  RespConnectionLimits workerConnections() {
    Duration idleTimeout =
        settings.connectionIdleTimeout().dividedBy(2); // before the worker closes it
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
        bufferBytes / UNREAD_RESPONSE_DIVISOR,
        bufferBytes,
        Math.min(settings.maxPendingRequests(), MAX_PENDING_REQUESTS),
        RECEIVE_TIMEOUT,
        SWEEP_INTERVAL);
  }

  private int descriptorQuota(int divisor) {
    return Math.max(1, maxSockets / divisor);
  }
}
