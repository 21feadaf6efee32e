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
 * Everything that a scenario needs on loopback ports: model servers, store, endpoint list, routers,
 * clients, and their logs.
 */
final class TestBed implements AutoCloseable {
  private static final int NETWORK_THREADS = 3;
  final Scenario scenario;
  final RealTimeScheduler scheduler = new RealTimeScheduler();
  final SplittableRandom random;
  final FunctionCatalogue catalogue;
  final EmulatedStore store;
  final EndpointListService endpointList;
  final EmulatedClients clients;
  final WorkerFleet fleet;
  final RouterGroup routers;
  private final EventRecorder scriptLog;
  private final EventRecorder fleetLog;
  private final EventRecorder clientLog;
  private final EventRecorder listLog;
  private final NetworkTransport net;
  private final StoreService storeService;

  /**
   * Starts everything; {@code baseline} names a routing policy in place of the program's own, null
   * for none.
   */
  TestBed(Scenario scenario, Path directory, String baseline) throws IOException {
    this(scenario, directory, baseline, true);
  }

  /**
   * Without routers only the emulator is started; the routers' configurations are written all the
   * same.
   */
  TestBed(Scenario scenario, Path directory, String baseline, boolean withRouters)
      throws IOException {
    this.scenario = scenario;
    Files.createDirectories(directory);
    random = new SplittableRandom(scenario.seed());
    net = new NetworkTransport(NETWORK_THREADS, "test-bed");
    fleetLog = new EventRecorder(directory.resolve(EventLog.FLEET));
    clientLog = new EventRecorder(directory.resolve(EventLog.CLIENTS));
    listLog = new EventRecorder(directory.resolve(EventLog.LIST));
    scriptLog = new EventRecorder(directory.resolve(EventLog.SCRIPT));
    catalogue = scenario.catalogue(scenario.seed());
    store =
        new EmulatedStore(scheduler, fleetLog, scenario.storeCapacity(), scenario.storeOutage());
    storeService = new StoreService(scheduler, net, store);
    endpointList = new EndpointListService(scheduler, net, listLog, scenario.listLag());
    SocketClientTransport transport =
        new SocketClientTransport(scheduler, net, clientLog, scenario.routers());
    clients = scenario.clients(scheduler, transport, catalogue, scenario.seed() + 1);
    routers = new RouterGroup(scenario, directory);
    fleet = startFleet();
    startRouters(transport, baseline, withRouters);
  }

  private WorkerFleet startFleet() throws IOException {
    ModelServerContext context =
        new ModelServerContext(
            scheduler,
            net,
            fleetLog,
            catalogue::find,
            RouterAddress::routerOf,
            new HashMap<>(),
            scenario.reportsLoad());
    WorkerFleet started =
        new WorkerFleet(
            scenario,
            context,
            new StoreClient(scheduler, net, storeService.port()),
            endpointList,
            random);
    for (int i = 0; i < scenario.workers(); i++) {
      started.start(false);
    }
    catalogue.seed(started.workers());
    return started;
  }

  private void startRouters(SocketClientTransport transport, String baseline, boolean withRouters)
      throws IOException {
    for (int i = 0; i < scenario.routers(); i++) {
      routers.add(endpointList.port(), catalogue, baseline);
      if (withRouters) {
        routers.host(i).start();
      }
      transport.setRouter(i, routers.port(i));
      clients.setZone(i, scenario.zone(i));
    }
    if (withRouters) {
      routers.awaitListening();
    }
  }

  /** Records an event of the fault script. */
  void recordFault(String what, Object... fields) {
    recordFaultAt(scheduler.now(), what, fields);
  }

  /** Records an event of the fault script that began at an earlier time, microseconds. */
  void recordFaultAt(long at, String what, Object... fields) {
    scriptLog.record(at, what, fields);
  }

  /**
   * Ends everything in good order: routers first, so that what is in flight is answered; then the
   * logs are whole.
   */
  void finish() throws IOException {
    routers.stop();
    long now = scheduler.now();
    fleetLog.end(now);
    clientLog.end(now);
    listLog.end(now);
    scriptLog.end(now);
  }

  @Override
  public void close() {
    routers.kill();
    fleet.kill();
    endpointList.close();
    storeService.close();
    scheduler.close();
    net.close();
  }
}
