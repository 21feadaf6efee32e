package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.emulator.FunctionFetcher;
import switchgap.testbed.scenario.Scenario;

/** The emulated workers of a test bed in virtual time, and their endpoint list. */
final class VirtualTimeFleet {
  /** Receives the changes of the endpoint list. */
  interface EndpointListListener {
    /** Called when every router has to receive the changed state of a worker. */
    void workerStateChanged(String workerName, WorkerState state);
  }

  private static final String PLACEHOLDER_HOST = "emulated";
  private static final int PLACEHOLDER_PORT = 1;
  private static final long WORKER_SEED_OFFSET = 1000;
  private static final long NANOS_PER_MICRO = 1000;

  private final Scenario scenario;
  private final VirtualTimeScheduler scheduler;
  private final FunctionFetcher store;
  private final long seed;
  private final ToIntFunction<String> workerKindIndex;
  private final EndpointListListener endpointListListener;
  private final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  private final Map<String, Boolean> readyByWorker = new LinkedHashMap<>();
  private int nextWorkerIndex;

  /**
   * Creates a fleet without workers.
   *
   * @param scenario hardware, zones and kinds of the workers
   * @param scheduler scheduler of the test bed's virtual time
   * @param store store that workers fetch functions from
   * @param seed seed of the workers' random draws
   * @param workerKindIndex returns the index of a worker kind in the routers' settings
   * @param endpointListListener receives changes of the endpoint list, after the list's delay
   */
  VirtualTimeFleet(
      Scenario scenario,
      VirtualTimeScheduler scheduler,
      FunctionFetcher store,
      long seed,
      ToIntFunction<String> workerKindIndex,
      EndpointListListener endpointListListener) {
    this.scenario = scenario;
    this.scheduler = scheduler;
    this.store = store;
    this.seed = seed;
    this.workerKindIndex = workerKindIndex;
    this.endpointListListener = endpointListListener;
  }

  /** Starts a worker that is already warmed up. */
  void startWarm() {
    start(false);
  }

  /** Starts a worker that has to warm up, and lists it as ready. */
  void startCold() {
    setState(start(true), WorkerState.READY);
  }

  private String start(boolean cold) {
    int workerIndex = nextWorkerIndex++;
    String name = "w" + workerIndex;
    workers.put(
        name,
        new EmulatedWorker(
            scenario.hardwareOf(workerIndex),
            scheduler,
            store,
            name,
            seed + WORKER_SEED_OFFSET + workerIndex,
            cold,
            // Without a crash handler, the endpoint list still contains a crashed worker as ready.
            () -> {}));
    readyByWorker.put(name, true);
    return name;
  }

  /**
   * Kills a worker. After the outage it is listed as gone and a cold worker starts as its
   * replacement.
   */
  void killAndReplace(EmulatedWorker worker, long outageMicros) {
    worker.kill();
    scheduler.after(
        outageMicros,
        () -> {
          setState(worker.name(), WorkerState.GONE);
          startCold();
        });
  }

  private void setState(String name, WorkerState state) {
    readyByWorker.put(name, state == WorkerState.READY);
    scheduler.after(scenario.listLag(), () -> endpointListListener.workerStateChanged(name, state));
  }

  /** Returns the worker with this name, null if there is none. */
  EmulatedWorker worker(String name) {
    return workers.get(name);
  }

  /** Returns a copy of the list of all workers started so far. */
  List<EmulatedWorker> workers() {
    return List.copyOf(workers.values());
  }

  /**
   * Returns the workers that run and are listed as ready, as a new list that the caller may modify.
   */
  List<EmulatedWorker> runningReadyWorkers() {
    List<EmulatedWorker> readyWorkers = new ArrayList<>();
    workers.forEach(
        (name, worker) -> {
          if (readyByWorker.get(name) && !worker.isKilled()) {
            readyWorkers.add(worker);
          }
        });
    return readyWorkers;
  }

  /** Returns the mean CPU utilization of the running workers, 0 if none runs. */
  double meanUtilization() {
    return workers.values().stream()
        .filter(worker -> !worker.isKilled())
        .mapToDouble(EmulatedWorker::utilization)
        .average()
        .orElse(0);
  }

  /** Returns the complete endpoint list in the form that a router receives. */
  List<EndpointUpdate> endpointList(VirtualTimeRouter router) {
    List<EndpointUpdate> updates = new ArrayList<>();
    readyByWorker.forEach(
        (name, isReady) -> {
          if (isReady) {
            updates.add(endpointUpdate(name, WorkerState.READY, router));
          }
        });
    return updates;
  }

  /** Returns a worker's entry of the endpoint list in the form that a router receives. */
  EndpointUpdate endpointUpdate(String name, WorkerState state, VirtualTimeRouter router) {
    int workerIndex = Integer.parseInt(name.substring(1));
    return new EndpointUpdate(
        name,
        PLACEHOLDER_HOST,
        PLACEHOLDER_PORT,
        state,
        scenario.zoneIndex(workerIndex),
        workerIndex / scenario.cellSize(),
        workerKindIndex.applyAsInt(scenario.kindName(workerIndex)),
        scenario.computeCapacityOf(workerIndex),
        startTime(workers.get(name), router));
  }

  /**
   * Returns the start time on the router's clock of a worker that has to warm up, null for other
   * workers.
   */
  private Duration startTime(EmulatedWorker worker, VirtualTimeRouter router) {
    if (!worker.startedCold()) {
      return null;
    }
    long ageMicros = scheduler.now() - worker.startedAt();
    return router.now().minus(Duration.ofNanos(ageMicros * NANOS_PER_MICRO));
  }
}
