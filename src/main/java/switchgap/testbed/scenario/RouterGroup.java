package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.process.LoopbackPorts;

/** The routers of a test bed: their configurations, ports and processes. */
final class RouterGroup {
  private static final Logger LOG = LoggerFactory.getLogger(RouterGroup.class);
  private static final long STOP_TIMEOUT_MILLIS = 9000;

  private final Scenario scenario;
  private final Path directory;
  private final int[] ports;
  private final int[] plannerPorts;
  private final List<RouterHost> hosts = new ArrayList<>();

  /** Finds ports for the routers of a scenario; their files are in the directory. */
  RouterGroup(Scenario scenario, Path directory) throws IOException {
    this.scenario = scenario;
    this.directory = directory;
    boolean ownPlanners = scenario.settings().routers().ownPlanners();
    int count = scenario.routers();
    // All at once: two searches in turn may return the same port.
    int[] freePorts = LoopbackPorts.free(ownPlanners ? 2 * count : count);
    ports = Arrays.copyOf(freePorts, count);
    plannerPorts = Arrays.copyOfRange(freePorts, count, freePorts.length);
  }

  /** Writes a router's configuration to the directory and prepares its host. */
  void add(int listPort, FunctionCatalogue catalogue, String baseline) throws IOException {
    int number = hosts.size();
    Path config = directory.resolve("router-" + number + ".yaml");
    Path log = directory.resolve("router-" + number + ".log");
    Files.deleteIfExists(log);
    boolean ownPlanner = plannerPorts.length > 0;
    Map<String, String> overrides =
        ownPlanner ? Map.of("planner.port", String.valueOf(plannerPorts[number])) : Map.of();
    Files.writeString(
        config, scenario.routerConfig(number, ports[number], listPort, catalogue, overrides));
    hosts.add(
        scenario.settings().routers().ownProcesses()
            ? new RouterProcess(config, log, baseline, ownPlanner)
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
    return ports[router];
  }

  /**
   * Waits until all routers listen.
   *
   * @throws IOException if one does not in time, or has ended
   */
  void awaitListening() throws IOException {
    for (int i = 0; i < ports.length; i++) {
      LoopbackPorts.await(ports[i]);
      if (!hosts.get(i).isRunning()) {
        throw new IOException("router " + i + " has ended, see its log in " + directory);
      }
    }
  }

  /** Starts a router again; false where it can't be started. */
  boolean start(int router) {
    try {
      hosts.get(router).start();
      return true;
    } catch (IOException e) {
      LOG.error("router {} can't be started again", router, e);
      return false;
    }
  }

  /** Starts the planners that are not running. */
  void startPlanners() {
    for (RouterHost host : hosts) {
      try {
        host.startPlanner();
      } catch (IOException e) {
        LOG.error("a planner can't be started again", e);
      }
    }
  }

  /** Shuts all routers down gracefully and waits for their end. */
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

  /** Ends all routers and planners at once. */
  void kill() {
    for (RouterHost host : hosts) {
      host.kill();
      host.killPlanner();
    }
  }
}
