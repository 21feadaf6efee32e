package switchgap.server.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.config.YamlRouterSettings;
import switchgap.planner.LoadPlanCounts;
import switchgap.policy.RoutingPolicy;
import switchgap.protocol.invoke.RequestCounts;
import switchgap.router.RouterCore;

/**
 * A running router: serves from the end of its constructor until {@link #stop} or {@link #close}.
 * Its public methods are safe from any thread. {@link GatewayComponents} has its parts, {@link
 * RouterStatus} what it reports.
 */
public final class GatewayRouter implements AutoCloseable {
  private enum Lifecycle {
    /** The constructor has not ended. */
    STARTING,
    /** Accepts requests. */
    SERVING,
    /** Accepts nothing more; pending requests get their responses. */
    STOPPING,
    /** Closed. */
    STOPPED
  }

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);
  private static final long STOP_POLL_MILLIS = 5;

  private final YamlRouterSettings settings;
  private final AtomicReference<Lifecycle> lifecycle = new AtomicReference<>(Lifecycle.STARTING);
  private final GatewayComponents components;
  private final int port;

  /**
   * Starts a router with the routing policy.
   *
   * @throws IOException where it can't listen
   */
  public GatewayRouter(GatewayConfig config) throws IOException {
    this(config, new RoutingPolicy(config.settings(), config.seed())::tick);
  }

  /**
   * Starts a router with any policy: to measure the routing policy against a baseline.
   *
   * @throws IOException where it can't listen
   */
  public GatewayRouter(GatewayConfig config, RouterCore.Policy policy) throws IOException {
    settings = config.settings();
    components = new GatewayComponents(config, policy);
    components.start();
    port = listen(config.listener());
    lifecycle.set(Lifecycle.SERVING);
    LOG.info(
        "router {} of {} serves at {}:{}",
        settings.routerIndex(),
        settings.routerCount(),
        config.listener().host(),
        port);
  }

  private int listen(GatewayConfig.ListenerConfig listener) throws IOException {
    try {
      return components.listen();
    } catch (IOException e) {
      close();
      throw new IOException(
          "can't listen at " + listener.host() + ":" + listener.port() + ": " + e.getMessage(), e);
    }
  }

  /** The port at which it serves. */
  public int port() {
    return port;
  }

  /** The port at which the planner is expected, 0 where none is. */
  public int plannerPort() {
    return components.plannerPort();
  }

  /**
   * Load commands and plans so far; null where no planner is expected. The event loop counts
   * without synchronization, so another thread may see counts of a moment ago.
   */
  public LoadPlanCounts loadPlanCounts() {
    return components.status().loadPlanCounts();
  }

  /** Requests that were accepted and have no response yet. */
  public int pendingRequests() {
    return components.status().pendingRequests();
  }

  /** Requests that have ended so far. */
  public RequestCounts requestCounts() {
    return components.status().requestCounts();
  }

  /** A copy of the event loop's lateness, microseconds. */
  public Histogram lateness() {
    return components.status().lateness();
  }

  /**
   * Shuts down gracefully: accepts nothing more, waits until all pending requests have their
   * responses, at most for the longest timeout of a request, then closes. Does nothing unless the
   * router serves.
   */
  public void stop() {
    if (!lifecycle.compareAndSet(Lifecycle.SERVING, Lifecycle.STOPPING)) {
      return;
    }
    components.stopAccepting();
    LOG.info("stopping: {} requests are pending", pendingRequests());
    awaitPendingRequests();
    components.status().logTotals();
    close();
  }

  private void awaitPendingRequests() {
    long deadlineNanos = System.nanoTime() + settings.longestTimeout().toNanos();
    try {
      while (pendingRequests() > 0 && System.nanoTime() - deadlineNanos < 0) {
        Thread.sleep(STOP_POLL_MILLIS);
      }
      components.awaitWrites(); // a request has ended before its response is written
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes at once: pending requests get no response. */
  @Override
  public void close() {
    if (lifecycle.getAndSet(Lifecycle.STOPPED) != Lifecycle.STOPPED) {
      components.close();
    }
  }
}
