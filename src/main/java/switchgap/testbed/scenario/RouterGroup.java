package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.process.LoopbackPorts;

/** The routers of a test bed, with their configurations and ports. */
final class RouterGroup implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RouterGroup.class);
  private static final long STOP_TIMEOUT_MILLIS = 9000;

  private final Scenario scenario;
  private final Path directory;
  private final LoopbackPorts routerPorts;
  private final LoopbackPorts plannerPorts;
  private final boolean ownPlanners;
  private final List<RouterHost> hosts = new ArrayList<>();

  /** Reserves ports for the routers and planners; their files are written to the directory. */
  RouterGroup(Scenario scenario, Path directory) throws IOException {
    this.scenario = scenario;
    this.directory = directory;
    ownPlanners = scenario.settings().routers().ownPlanners();
    routerPorts = LoopbackPorts.reserve(scenario.routerCount());
    plannerPorts = LoopbackPorts.reserve(ownPlanners ? scenario.routerCount() : 0);
  }

  /** Writes the configuration of the next router and creates its host, without starting it. */
  void add(int listPort, FunctionCatalogue catalogue, String baseline) throws IOException {
    int index = hosts.size();
    Path config = directory.resolve("router-" + index + ".yaml");
    Path log = directory.resolve("router-" + index + ".log");
    Files.deleteIfExists(log);
    Map<String, String> overrides =
        ownPlanners ? Map.of("planner.port", String.valueOf(plannerPorts.get(index))) : Map.of();
    Files.writeString(
        config, scenario.routerConfig(index, port(index), listPort, catalogue, overrides));
    hosts.add(
        scenario.settings().routers().ownProcesses()
            ? new RouterProcess(config, log, baseline, ownPlanners)
            : new InProcessRouter(config));
  }

  int size() {
    return hosts.size();
  }

  List<RouterHost> hosts() {
    return hosts;
  }

  RouterHost host(int router) {
    return hosts.get(router);
  }

  int port(int router) {
    return routerPorts.get(router);
  }

  /**
   * Waits until all routers accept connections.
   *
   * @throws IOException if a router does not listen within the timeout or has ended
   */
  void awaitListening() throws IOException {
    for (int i = 0; i < hosts.size(); i++) {
      LoopbackPorts.awaitListening(port(i));
      if (!hosts.get(i).isRunning()) {
        throw new IOException(
            "router " + i + " ended during start-up; see its log in " + directory);
      }
    }
  }

  /** Starts a router; logs an error and returns false if it cannot be started. */
  boolean start(int router) {
    try {
      hosts.get(router).start();
      return true;
    } catch (IOException e) {
      LOG.error("router {} could not be restarted; it stays down", router, e);
      return false;
    }
  }

  /** Starts the planners that are not running; logs an error for each that cannot be started. */
  void startPlanners() {
    for (RouterHost host : hosts) {
      try {
        host.startPlanner();
      } catch (IOException e) {
        LOG.error("a planner could not be restarted; its router stays without one", e);
      }
    }
  }

  /** Shuts down all routers gracefully, in parallel, and waits until they have ended. */
  void stop() {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < hosts.size(); i++) {
      Thread thread = new Thread(hosts.get(i)::stop, "stop-router-" + i);
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      try {
        thread.join(STOP_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Kills all routers and planners without a graceful shutdown, and releases their ports. */
  @Override
  public void close() {
    for (RouterHost host : hosts) {
      host.kill();
      host.killPlanner();
    }
    releasePorts();
  }

  private void releasePorts() {
    try {
      routerPorts.close();
      plannerPorts.close();
    } catch (IOException e) {
      LOG.warn("ports could not be released", e);
    }
  }
}
