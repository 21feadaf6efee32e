package switchgap.protocol.resp;

import java.time.Duration;

/**
 * Limits on the connections to workers.
 *
 * @param maxConnections maximum number of connections to all workers, open or being opened
 * @param maxConnectionsPerWorker maximum number of connections to one worker
 * @param maxWaitingPerWorker maximum number of exchanges that wait for a connection to one worker
 * @param maxInFlightPerConnection maximum number of exchanges in flight on one connection
 * @param connectTimeout maximum time for opening a connection
 * @param idleTimeout time without any exchange after which a connection is closed
 */
public record RespConnectionLimits(
    int maxConnections,
    int maxConnectionsPerWorker,
    int maxWaitingPerWorker,
    int maxInFlightPerConnection,
    Duration connectTimeout,
    Duration idleTimeout) {}
