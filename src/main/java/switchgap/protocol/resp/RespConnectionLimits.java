package switchgap.protocol.resp;

import java.time.Duration;

/**
 * Bounds of the connections to workers.
 *
 * @param maxConnections connections to all workers together, open or being opened
 * @param maxConnectionsPerWorker connections to one worker
 * @param maxWaitingPerWorker exchanges that wait for a connection to one worker
 * @param maxInFlightPerConnection exchanges in flight on one connection
 * @param connectTimeout time that opening a connection may take
 * @param idleTimeout time without an exchange after which a connection is closed
 */
public record RespConnectionLimits(
    int maxConnections,
    int maxConnectionsPerWorker,
    int maxWaitingPerWorker,
    int maxInFlightPerConnection,
    Duration connectTimeout,
    Duration idleTimeout) {}
