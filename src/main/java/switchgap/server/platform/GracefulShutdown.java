package switchgap.server.platform;

import java.time.Duration;

/**
 * The graceful shutdown of a router after SIGTERM. SIGKILL may come 0.7 s after the longest request
 * timeout, taken as 3 s if it is longer, and clients go on sending on open connections until then.
 * A request that is unanswered at the end of the process is lost, so the process ends once no
 * connection is left that could carry one:
 *
 * <ol>
 *   <li>Health checks fail; everything is served while clients still open connections.
 *   <li>The listener is closed, and each connection that is quiet; the others are served on.
 *   <li>Shortly before SIGKILL can come, pending requests are failed and further ones rejected, and
 *       each connection is closed with the answer after which nothing is in flight on it. A request
 *       that crosses such a close is the client's to send again.
 * </ol>
 */
final class GracefulShutdown {
  /** Clients open connections for 0.4 s after SIGTERM, and send requests for 0.2 s more. */
  private static final Duration ROTATION_DURATION = Duration.ofMillis(700);

  /** The platform assumes this timeout if the longest one is longer. */
  private static final Duration MAX_ASSUMED_TIMEOUT = Duration.ofSeconds(3);

  /** SIGKILL comes this long after the assumed timeout, at the earliest. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(700);

  // Times before the earliest SIGKILL at which the last steps begin.
  private static final Duration STOP_LISTENING_BEFORE_KILL = Duration.ofMillis(350);
  private static final Duration FAIL_PENDING_BEFORE_KILL = Duration.ofMillis(250);

  /** Time for clients that hold a connection after the earliest SIGKILL, if that comes later. */
  private static final Duration MAX_OVERTIME = Duration.ofSeconds(2);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

  /** Consecutive checks that must find no connection: one may just have been accepted. */
  private static final int REQUIRED_EMPTY_CHECKS = 3;

  private final PlatformRouter router;
  private final Duration startedAt;
  private final Duration earliestKill;
  private final RateLimitedLog log;
  private boolean listening = true;

  /**
   * A shutdown whose deadline counts from now.
   *
   * @param longestTimeout the longest request timeout
   */
  GracefulShutdown(PlatformRouter router, Duration longestTimeout, RateLimitedLog log) {
    this.router = router;
    this.log = log;
    this.startedAt = router.now();
    Duration assumedTimeout = earlier(longestTimeout, MAX_ASSUMED_TIMEOUT);
    this.earliestKill = startedAt.plus(assumedTimeout).plus(KILL_MARGIN);
  }

  /** Blocks until no client is connected any more, for a bounded time. */
  void run() throws InterruptedException {
    router.reportHealthy(false);
    sleepUntil(
        earlier(startedAt.plus(ROTATION_DURATION), earliestKill.minus(STOP_LISTENING_BEFORE_KILL)));
    closeQuietConnectionsUntil(earliestKill.minus(FAIL_PENDING_BEFORE_KILL));
    router.events().counts().forEach((event, count) -> log.trace("count " + event + " " + count));
    log.line("stopped, " + router.resourceUsage().pendingRequests() + " requests pending");
    router.failPendingRequests();
    closeQuietConnectionsUntil(earliestKill.plus(MAX_OVERTIME));
  }

  private static Duration earlier(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  private void sleepUntil(Duration time) throws InterruptedException {
    long millis = time.minus(router.now()).toMillis();
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  /** The clients in the accept queue would be lost with the listener: they are accepted first. */
  private void stopListeningOnceAccepted() {
    if (listening && !router.isAcceptStalled()) {
      listening = false;
      router.stopListening();
    }
  }

  /** Closes quiet connections until none of any kind is left, or until a time. */
  private void closeQuietConnectionsUntil(Duration end) throws InterruptedException {
    int emptyChecks = 0;
    while (emptyChecks < REQUIRED_EMPTY_CHECKS && router.now().compareTo(end) < 0) {
      stopListeningOnceAccepted();
      router.closeQuietConnections();
      boolean isEmpty = !listening && router.openClientConnections() == 0;
      emptyChecks = isEmpty ? emptyChecks + 1 : 0;
      Thread.sleep(CHECK_INTERVAL.toMillis());
    }
  }
}
