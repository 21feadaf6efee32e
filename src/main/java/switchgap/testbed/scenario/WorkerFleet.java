package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.testbed.emulator.EmulatedModelServer;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.emulator.EndpointListService;
import switchgap.testbed.emulator.EndpointState;
import switchgap.testbed.emulator.FunctionFetcher;
import switchgap.testbed.emulator.ModelServerContext;

/**
 * The emulated model servers of a test bed and their entries in the endpoint list. After the
 * initial workers have started, used on the scheduler's thread only.
 */
final class WorkerFleet {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerFleet.class);
  private static final long MICROS_PER_MILLI = 1000;
  private static final int FAULT_SEED_OFFSET = 100;
  private static final int WORKER_SEED_OFFSET = 1000;
  private final Scenario scenario;
  private final ModelServerContext context;
  private final FunctionFetcher store;
  private final EndpointListService endpointList;
  private final SplittableRandom faultTargetRandom;
  private final Map<String, EmulatedModelServer> servers = new LinkedHashMap<>();
  private int nextIndex;

  WorkerFleet(
      Scenario scenario,
      ModelServerContext context,
      FunctionFetcher store,
      EndpointListService endpointList,
      SplittableRandom faultTargetRandom) {
    this.scenario = scenario;
    this.context = context;
    this.store = store;
    this.endpointList = endpointList;
    this.faultTargetRandom = faultTargetRandom;
  }

  Collection<EmulatedModelServer> servers() {
    return Collections.unmodifiableCollection(servers.values());
  }

  List<EmulatedWorker> workers() {
    return servers.values().stream().map(EmulatedModelServer::worker).toList();
  }

  /**
   * Starts a worker under a new name.
   *
   * @param cold whether the worker has to warm up; only then its entry in the endpoint list has a
   *     start time
   */
  void startWorker(boolean cold) throws IOException {
    int index = nextIndex++;
    String name = "w" + index;
    EmulatedModelServer server =
        new EmulatedModelServer(name, context, scenario.seed() + FAULT_SEED_OFFSET + index);
    int port =
        server.start(
            scenario.hardwareOf(index), store, scenario.seed() + WORKER_SEED_OFFSET + index, cold);
    servers.put(name, server);
    endpointList.put(entry(name, port, index, cold));
  }

  /** Starts a cold worker under a new name; for scheduled tasks, which throw no IOException. */
  void startCold() {
    try {
      startWorker(true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private EndpointListService.Entry entry(String name, int port, int index, boolean cold) {
    return new EndpointListService.Entry(
        name,
        port,
        EndpointState.READY,
        scenario.zoneName(index),
        index / scenario.cellSize(),
        scenario.kindName(index),
        scenario.computeCapacityOf(index),
        cold ? context.scheduler().now() / MICROS_PER_MILLI : 0);
  }

  /** Sets the state of a worker in the endpoint list; does nothing if it has no entry. */
  void setState(String name, EndpointState state) {
    for (EndpointListService.Entry entry : endpointList.entries()) {
      if (entry.name().equals(name)) {
        endpointList.put(entry.withState(state));
      }
    }
  }

  /** Lists a worker as draining; after {@code drainMicros} kills it and lists it as gone. */
  void drain(String name, long drainMicros) {
    setState(name, EndpointState.DRAINING);
    context
        .scheduler()
        .after(
            drainMicros,
            () -> {
              servers.get(name).kill();
              setState(name, EndpointState.GONE);
            });
  }

  /**
   * Kills a worker and starts it again, cold and without replicas, under the same name.
   *
   * @param outageMicros time until the start, in microseconds
   */
  void restart(String name, long outageMicros) {
    servers.get(name).kill();
    int index = Integer.parseInt(name.substring(1));
    context
        .scheduler()
        .after(
            outageMicros,
            () -> {
              try {
                int port =
                    servers
                        .get(name)
                        .start(
                            scenario.hardwareOf(index),
                            store,
                            scenario.seed() + context.scheduler().now(),
                            true);
                endpointList.put(entry(name, port, index, true));
              } catch (IOException e) {
                LOG.error("worker {} could not be restarted; it stays down", name, e);
              }
            });
  }

  /**
   * Selects random workers among the running ones that are listed as ready.
   *
   * @param share share of these workers to select; at least one is selected if there are any
   */
  List<EmulatedModelServer> selectReady(double share) {
    List<EmulatedModelServer> ready = new ArrayList<>();
    for (EndpointListService.Entry entry : endpointList.entries()) {
      if (entry.state() == EndpointState.READY && servers.get(entry.name()).isRunning()) {
        ready.add(servers.get(entry.name()));
      }
    }
    return LoadFaults.drawShare(ready, share, faultTargetRandom);
  }

  /** Kills all workers. */
  void kill() {
    servers.values().forEach(EmulatedModelServer::kill);
  }
}
