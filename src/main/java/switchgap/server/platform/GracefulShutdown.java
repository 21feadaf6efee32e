package switchgap.server.platform;

import java.time.Duration;

/**
 * The graceful shutdown of a router after SIGTERM. It reports unhealthy, keeps accepting requests
 * for a while, and ends once it is idle: no request is pending, no message partial or queued for
 * the event loop, no response unwritten. Every request has its response before SIGKILL can come.
 *
 * <p>After SIGTERM clients open connections for 0.4 s and send requests for 0.2 s more; SIGKILL
 * comes 0.7 s after the longest request timeout, taken as 3 s if it is shorter, at the earliest.
 */
final class GracefulShutdown {
  /** Requests are accepted for at least this long. */
  private static final Duration MIN_DRAIN_DURATION = Duration.ofSeconds(1);

  /** The platform assumes this timeout if all are shorter. */
  private static final Duration MIN_LONGEST_TIMEOUT = Duration.ofSeconds(3);

  /**
   * Past the longest timeout by this much, every request has its response: 0.2 s before SIGKILL.
   */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(500);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** Consecutive checks that must find the router idle. */
  private static final int REQUIRED_IDLE_CHECKS = 3;

  /** Time for the last responses to be written, before SIGKILL comes. */
  private static final Duration MAX_FLUSH_DURATION = Duration.ofMillis(120);

  private final PlatformRouter router;
  private final Duration deadline;
  private final RateLimitedLog log;

  /**
   * A shutdown whose deadline counts from now.
   *
   * @param longestTimeout the longest request timeout
   */
  GracefulShutdown(PlatformRouter router, Duration longestTimeout, RateLimitedLog log) {
    this.router = router;
    this.log = log;
    Duration assumedTimeout =
        longestTimeout.compareTo(MIN_LONGEST_TIMEOUT) < 0 ? MIN_LONGEST_TIMEOUT : longestTimeout;
    this.deadline = router.now().plus(assumedTimeout).plus(DEADLINE_MARGIN);
  }

  /** Blocks until the router is idle or the deadline has passed; pending requests fail then. */
  void run() throws InterruptedException {
    router.reportHealthy(false);
    Thread.sleep(MIN_DRAIN_DURATION.toMillis());
    awaitIdle();
    router.events().counts().forEach((event, count) -> log.trace("count " + event + " " + count));
    log.line("stopped, " + router.resourceUsage().pendingRequests() + " requests pending");
    router.failPendingRequests();
    flush();
  }

  /** Waits until the last responses are written, for a bounded time. */
  private void flush() throws InterruptedException {
    Duration end = router.now().plus(MAX_FLUSH_DURATION);
    do {
      Thread.sleep(CHECK_INTERVAL.toMillis());
    } while (router.resourceUsage().activeClientConnections() > 0
        && router.now().compareTo(end) < 0);
  }

  private void awaitIdle() throws InterruptedException {
    int idleChecks = 0;
    while (idleChecks < REQUIRED_IDLE_CHECKS && router.now().compareTo(deadline) < 0) {
      Thread.sleep(CHECK_INTERVAL.toMillis());
      idleChecks = router.resourceUsage().activeClientConnections() > 0 ? 0 : idleChecks + 1;
    }
  }
}
