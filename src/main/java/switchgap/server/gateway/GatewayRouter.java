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
 * A running router, which accepts requests from the end of its constructor until {@link #stop} or
 * {@link #close}. Its public methods are safe from any thread.
 */
public final class GatewayRouter implements AutoCloseable {
  private enum Lifecycle {
    /** The constructor has not returned. */
    STARTING,
    /** Accepts requests. */
    SERVING,
    /** Accepts no new requests; pending requests still get their responses. */
    STOPPING,
    /** All components are closed. */
    STOPPED
  }

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);
  private static final long STOP_POLL_MILLIS = 5;

  private final YamlRouterSettings settings;
  private final AtomicReference<Lifecycle> lifecycle = new AtomicReference<>(Lifecycle.STARTING);
  private final GatewayComponents components;
  private final int port;

  /**
   * Starts a router with the default {@link RoutingPolicy}.
   *
   * @throws IOException if a port can't be opened
   */
  public GatewayRouter(GatewayConfig config) throws IOException {
    this(config, new RoutingPolicy(config.settings(), config.seed())::tick);
  }

  /**
   * Starts a router with another policy, such as a baseline for benchmarks.
   *
   * @throws IOException if a port can't be opened
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

  /** The port for clients. */
  public int port() {
    return port;
  }

  /** The port to which the planner connects, 0 if no planner is configured. */
  public int plannerPort() {
    return components.plannerPort();
  }

  /**
   * Counts of load commands and plans since the start; null if no planner is configured. The event
   * loop updates them without synchronization, so another thread may see slightly outdated values.
   */
  public LoadPlanCounts loadPlanCounts() {
    return components.status().loadPlanCounts();
  }

  /** Number of requests that were accepted and have no response yet. */
  public int pendingRequests() {
    return components.status().pendingRequests();
  }

  /** Numbers of requests that have ended since the start, by outcome. */
  public RequestCounts requestCounts() {
    return components.status().requestCounts();
  }

  /** Returns a copy of the histogram of the event loop's lateness, in microseconds. */
  public Histogram lateness() {
    return components.status().lateness();
  }

  /**
   * Shuts down gracefully: stops accepting requests, waits until all pending requests have their
   * responses, at most for the longest request timeout, then closes. Has no effect unless the
   * router is serving.
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
      // A request is no longer pending once its response is queued, which may not be written yet.
      components.awaitWrites();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes the router without waiting; pending requests get no response. */
  @Override
  public void close() {
    if (lifecycle.getAndSet(Lifecycle.STOPPED) != Lifecycle.STOPPED) {
      components.close();
    }
  }
}
