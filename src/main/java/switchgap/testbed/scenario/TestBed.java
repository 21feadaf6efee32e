package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.SplittableRandom;
import switchgap.net.NetworkTransport;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EmulatedStore;
import switchgap.testbed.emulator.EndpointListService;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.ModelServerContext;
import switchgap.testbed.emulator.RealTimeScheduler;
import switchgap.testbed.emulator.SocketClientTransport;
import switchgap.testbed.emulator.StoreClient;
import switchgap.testbed.emulator.StoreService;

/**
 * Processes and emulators of one scenario run, on loopback ports: model servers, store, endpoint
 * list service, routers and clients, with their logs.
 */
final class TestBed implements AutoCloseable {
  private static final int NETWORK_THREADS = 3;

  private final Scenario scenario;
  private final RealTimeScheduler scheduler = new RealTimeScheduler();
  private final SplittableRandom faultTargetRandom;
  private final FunctionCatalogue catalogue;
  private final EmulatedStore store;
  private final EndpointListService endpointList;
  private final EmulatedClients clients;
  private final WorkerFleet fleet;
  private final RouterGroup routers;
  private final EventRecorder scriptLog;
  private final EventRecorder fleetLog;
  private final EventRecorder clientLog;
  private final EventRecorder listLog;
  private final NetworkTransport networkTransport;
  private final StoreService storeService;

  /**
   * Starts the test bed with routers.
   *
   * @param scenario the scenario to run
   * @param directory directory for the routers' configurations and the logs
   * @param baseline name of a baseline routing policy, null for the router's own policy
   * @throws IOException if a port, a process or a log cannot be opened
   */
  TestBed(Scenario scenario, Path directory, String baseline) throws IOException {
    this(scenario, directory, baseline, true);
  }

  /**
   * Starts the test bed with or without routers.
   *
   * @param scenario the scenario to run
   * @param directory directory for the routers' configurations and the logs
   * @param baseline name of a baseline routing policy, null for the router's own policy
   * @param withRouters whether routers are started; their configurations are written in any case
   * @throws IOException if a port, a process or a log cannot be opened
   */
  TestBed(Scenario scenario, Path directory, String baseline, boolean withRouters)
      throws IOException {
    this.scenario = scenario;
    Files.createDirectories(directory);
    faultTargetRandom = new SplittableRandom(scenario.seed());
    networkTransport = new NetworkTransport(NETWORK_THREADS, "test-bed");
    fleetLog = new EventRecorder(directory.resolve(EventLog.FLEET));
    clientLog = new EventRecorder(directory.resolve(EventLog.CLIENTS));
    listLog = new EventRecorder(directory.resolve(EventLog.LIST));
    scriptLog = new EventRecorder(directory.resolve(EventLog.SCRIPT));
    catalogue = scenario.catalogue(scenario.seed());
    store =
        new EmulatedStore(scheduler, fleetLog, scenario.storeCapacity(), scenario.storeOutage());
    storeService = new StoreService(scheduler, networkTransport, store);
    endpointList =
        new EndpointListService(scheduler, networkTransport, listLog, scenario.listLag());
    SocketClientTransport transport =
        new SocketClientTransport(scheduler, networkTransport, clientLog, scenario.routerCount());
    clients = scenario.clients(scheduler, transport, catalogue, scenario.seed() + 1);
    routers = new RouterGroup(scenario, directory);
    fleet = startFleet();
    startRouters(transport, baseline, withRouters);
  }

  private WorkerFleet startFleet() throws IOException {
    ModelServerContext context =
        new ModelServerContext(
            scheduler,
            networkTransport,
            fleetLog,
            catalogue::find,
            RouterAddress::routerOf,
            new HashMap<>(),
            scenario.reportsLoad());
    WorkerFleet startedFleet =
        new WorkerFleet(
            scenario,
            context,
            new StoreClient(scheduler, networkTransport, storeService.port()),
            endpointList,
            faultTargetRandom);
    for (int i = 0; i < scenario.workerCount(); i++) {
      startedFleet.startWorker(false);
    }
    catalogue.seedReplicas(startedFleet.workers());
    return startedFleet;
  }

  private void startRouters(SocketClientTransport transport, String baseline, boolean withRouters)
      throws IOException {
    for (int i = 0; i < scenario.routerCount(); i++) {
      routers.add(endpointList.port(), catalogue, baseline);
      if (withRouters) {
        routers.host(i).start();
      }
      transport.setRouter(i, routers.port(i));
      clients.setZone(i, scenario.zoneName(i));
    }
    if (withRouters) {
      routers.awaitListening();
    }
  }

  Scenario scenario() {
    return scenario;
  }

  /** The only thread that accesses the state of clients, workers, store and endpoint list. */
  RealTimeScheduler scheduler() {
    return scheduler;
  }

  /** Random number generator that selects the targets of faults. */
  SplittableRandom faultTargetRandom() {
    return faultTargetRandom;
  }

  FunctionCatalogue catalogue() {
    return catalogue;
  }

  EmulatedStore store() {
    return store;
  }

  EndpointListService endpointList() {
    return endpointList;
  }

  EmulatedClients clients() {
    return clients;
  }

  WorkerFleet fleet() {
    return fleet;
  }

  RouterGroup routers() {
    return routers;
  }

  /** Logs an event of the fault script with the current time. */
  void recordScriptEvent(String event, Object... fields) {
    recordScriptEventAt(scheduler.now(), event, fields);
  }

  /** Logs an event of the fault script with an earlier time, in microseconds. */
  void recordScriptEventAt(long time, String event, Object... fields) {
    scriptLog.record(time, event, fields);
  }

  /**
   * Shuts the routers down gracefully, so that requests in flight receive their responses, and then
   * writes the last line of each log.
   */
  void shutDownGracefully() throws IOException {
    routers.stop();
    long now = scheduler.now();
    fleetLog.end(now);
    clientLog.end(now);
    listLog.end(now);
    scriptLog.end(now);
  }

  @Override
  public void close() {
    routers.close();
    fleet.kill();
    endpointList.close();
    storeService.close();
    scheduler.close();
    networkTransport.close();
  }
}
