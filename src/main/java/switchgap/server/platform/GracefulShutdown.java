package switchgap.server.platform;

import java.time.Duration;

/**
 * Graceful shutdown of a router after SIGTERM. The platform may send SIGKILL as soon as the longest
 * request timeout (at most 3 s) plus 0.7 s has elapsed, and clients continue to send requests on
 * open connections until then. A request that is unanswered when the process exits is lost, so the
 * process exits only when no connection is left that could deliver one:
 *
 * <ol>
 *   <li>Heartbeats are answered as unhealthy; requests are served while clients still open
 *       connections.
 *   <li>The listener and all quiet connections are closed; the other connections are still served.
 *   <li>Shortly before the earliest possible SIGKILL, pending requests are failed, later ones are
 *       rejected, and each connection is closed after the reply that leaves it idle. The client has
 *       to resend a request that is in transit when its connection is closed.
 * </ol>
 */
final class GracefulShutdown {
  /**
   * Clients open connections for 0.4 s after SIGTERM and send requests on them for 0.2 s more; the
   * rest is margin.
   */
  private static final Duration MIN_DRAIN_DURATION = Duration.ofMillis(700);

  /** The platform computes the time of SIGKILL with this timeout if the longest one exceeds it. */
  private static final Duration MAX_ASSUMED_TIMEOUT = Duration.ofSeconds(3);

  /** Minimum time from the end of the assumed timeout to SIGKILL. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(700);

  // Durations before the earliest SIGKILL at which the last two steps begin at the latest.
  private static final Duration STOP_LISTENING_BEFORE_KILL = Duration.ofMillis(350);
  private static final Duration FAIL_PENDING_BEFORE_KILL = Duration.ofMillis(250);

  /**
   * Maximum time to wait for clients with an open connection after the earliest SIGKILL, in case it
   * is sent later.
   */
  private static final Duration MAX_TIME_AFTER_EARLIEST_KILL = Duration.ofSeconds(2);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

  /**
   * Number of consecutive checks that must find no connection, as one may be accepted between two
   * checks.
   */
  private static final int REQUIRED_EMPTY_CHECKS = 3;

  private final PlatformRouter router;
  private final Duration startedAt;
  private final Duration earliestKillAt;
  private final RateLimitedLog log;
  private boolean isListening = true;

  /**
   * Creates a shutdown whose deadlines count from now.
   *
   * @param longestTimeout the longest request timeout
   */
  GracefulShutdown(PlatformRouter router, Duration longestTimeout, RateLimitedLog log) {
    this.router = router;
    this.log = log;
    this.startedAt = router.now();
    Duration assumedTimeout = earlierOf(longestTimeout, MAX_ASSUMED_TIMEOUT);
    this.earliestKillAt = startedAt.plus(assumedTimeout).plus(KILL_MARGIN);
  }

  /** Blocks until no client is connected any more, but only for a bounded time. */
  void run() throws InterruptedException {
    router.reportHealthy(false);
    sleepUntil(
        earlierOf(
            startedAt.plus(MIN_DRAIN_DURATION), earliestKillAt.minus(STOP_LISTENING_BEFORE_KILL)));
    closeQuietConnectionsUntil(earliestKillAt.minus(FAIL_PENDING_BEFORE_KILL));
    router.events().counts().forEach((event, count) -> log.trace("count " + event + " " + count));
    log.line("drain ended with " + router.resourceUsage().pendingRequests() + " requests pending");
    router.failPendingRequests();
    closeQuietConnectionsUntil(earliestKillAt.plus(MAX_TIME_AFTER_EARLIEST_KILL));
  }

  private static Duration earlierOf(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  private void sleepUntil(Duration time) throws InterruptedException {
    long millis = time.minus(router.now()).toMillis();
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  /**
   * Closes the listener once all clients in the accept queue are accepted, as the close would drop
   * the others.
   */
  private void stopListeningOnceAccepted() {
    isListening = isListening && !router.stopListening();
  }

  /** Repeatedly closes quiet connections until no connection is left, or until the given time. */
  private void closeQuietConnectionsUntil(Duration endTime) throws InterruptedException {
    int emptyChecks = 0;
    while (emptyChecks < REQUIRED_EMPTY_CHECKS && router.now().compareTo(endTime) < 0) {
      stopListeningOnceAccepted();
      router.closeQuietConnections();
      boolean isEmpty = !isListening && router.openClientConnections() == 0;
      emptyChecks = isEmpty ? emptyChecks + 1 : 0;
      Thread.sleep(CHECK_INTERVAL.toMillis());
    }
  }
}
