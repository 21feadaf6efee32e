package switchgap.server.platform;

import java.time.Duration;

/**
 * The end of a router after SIGTERM: it reports that it is no longer healthy, goes on taking what
 * may still come, and ends once nothing is under way: no request pending, no message half received
 * or unread by the loop, no response unwritten. Whatever comes meanwhile has its response before
 * SIGKILL can come.
 *
 * <p>After SIGTERM clients open connections for 0.4 s and send requests for 0.2 s more; SIGKILL
 * comes no sooner than 0.7 s after the longest request timeout, or after 3 s where that is shorter.
 */
final class GracefulShutdown {
  /** Time for which requests are taken at the least. */
  private static final Duration DRAIN_DURATION = Duration.ofSeconds(1);

  /** The platform reckons with this timeout where all are shorter. */
  private static final Duration MIN_LONGEST_TIMEOUT = Duration.ofSeconds(3);

  /** Time past the longest timeout by which all has its response, 0.2 s before SIGKILL. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(500);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** Checks one after the other that must find nothing under way. */
  private static final int REQUIRED_IDLE_CHECKS = 3;

  /** Time for the last responses to be written, before SIGKILL comes. */
  private static final Duration MAX_FLUSH_DURATION = Duration.ofMillis(120);

  private final PlatformRouter router;
  private final Duration deadline;
  private final RateLimitedLog log;

  /**
   * The shutdown of a router, whose time starts now.
   *
   * @param longestTimeout the longest request timeout
   */
  GracefulShutdown(PlatformRouter router, Duration longestTimeout, RateLimitedLog log) {
    this.router = router;
    this.log = log;
    Duration graceful =
        longestTimeout.compareTo(MIN_LONGEST_TIMEOUT) < 0 ? MIN_LONGEST_TIMEOUT : longestTimeout;
    this.deadline = router.now().plus(graceful).plus(DEADLINE_MARGIN);
  }

  /** Blocks until nothing is under way or the deadline has passed; what is left then is failed. */
  void run() throws InterruptedException {
    router.reportHealthy(false);
    Thread.sleep(DRAIN_DURATION.toMillis());
    awaitIdle();
    router.events().counts().forEach((event, count) -> log.trace("count " + event + " " + count));
    log.line("stopped, " + router.resourceUsage().pendingRequests() + " requests pending");
    router.failPending();
    flush();
  }

  /**
   * Waits until the last responses are written; clients that do not read hold nobody up for longer.
   */
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
