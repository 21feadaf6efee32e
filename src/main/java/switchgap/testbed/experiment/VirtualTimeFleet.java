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

/** The emulated workers of a test bed in virtual time, and the endpoint list that names them. */
final class VirtualTimeFleet {
  /** Receives the endpoint list's changes. */
  interface Watcher {
    /** A worker's state changed; the update is due at every router now. */
    void stateChanged(String worker, WorkerState state);
  }

  private static final String HOST = "emulated";
  private static final int PORT = 1;
  private static final long WORKER_SEED_OFFSET = 1000;
  private static final long NANOS_PER_MICRO = 1000;

  private final Scenario scenario;
  private final VirtualTimeScheduler scheduler;
  private final FunctionFetcher store;
  private final long seed;
  private final ToIntFunction<String> workerKindIndex;
  private final Watcher watcher;
  private final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  private final Map<String, Boolean> ready = new LinkedHashMap<>();
  private int nextWorkerIndex;

  /**
   * A fleet without workers.
   *
   * @param scenario hardware, zones and kinds of the workers
   * @param scheduler clock and thread
   * @param store where workers fetch functions from
   * @param seed seed of the workers' random draws
   * @param workerKindIndex index of a worker kind in the routers' settings
   * @param watcher notified of changes of the endpoint list, after the list's lag
   */
  VirtualTimeFleet(
      Scenario scenario,
      VirtualTimeScheduler scheduler,
      FunctionFetcher store,
      long seed,
      ToIntFunction<String> workerKindIndex,
      Watcher watcher) {
    this.scenario = scenario;
    this.scheduler = scheduler;
    this.store = store;
    this.seed = seed;
    this.workerKindIndex = workerKindIndex;
    this.watcher = watcher;
  }

  /** Starts a worker that has run for long. */
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
            () -> {}));
    ready.put(name, true);
    return name;
  }

  /** Ends a worker's process; after the outage it is listed as gone and a cold one starts. */
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
    ready.put(name, state == WorkerState.READY);
    scheduler.after(scenario.listLag(), () -> watcher.stateChanged(name, state));
  }

  /** The worker of a name, null for none. */
  EmulatedWorker worker(String name) {
    return workers.get(name);
  }

  /** All workers started so far; a copy. */
  List<EmulatedWorker> workers() {
    return List.copyOf(workers.values());
  }

  /** The workers that run and are listed as ready; a copy that may be changed. */
  List<EmulatedWorker> runningAndReady() {
    List<EmulatedWorker> selected = new ArrayList<>();
    workers.forEach(
        (name, worker) -> {
          if (ready.get(name) && !worker.isDead()) {
            selected.add(worker);
          }
        });
    return selected;
  }

  /** Mean share of cores at work, over the workers that run. */
  double meanUtilization() {
    return workers.values().stream()
        .filter(worker -> !worker.isDead())
        .mapToDouble(EmulatedWorker::utilization)
        .average()
        .orElse(0);
  }

  /** The complete endpoint list as a router reads it. */
  List<EndpointUpdate> endpointList(VirtualTimeRouter router) {
    List<EndpointUpdate> list = new ArrayList<>();
    ready.forEach(
        (name, isReady) -> {
          if (isReady) {
            list.add(endpointUpdate(name, WorkerState.READY, router));
          }
        });
    return list;
  }

  /** One worker's entry in the endpoint list as a router reads it. */
  EndpointUpdate endpointUpdate(String name, WorkerState state, VirtualTimeRouter router) {
    int workerIndex = Integer.parseInt(name.substring(1));
    return new EndpointUpdate(
        name,
        HOST,
        PORT,
        state,
        scenario.zoneOf(workerIndex),
        workerIndex / scenario.cellSize(),
        workerKindIndex.applyAsInt(scenario.kindName(workerIndex)),
        scenario.computeCapacityOf(workerIndex),
        startTime(workers.get(name), router));
  }

  /** When a worker that has to warm up started, on the router's clock; null for another one. */
  private Duration startTime(EmulatedWorker worker, VirtualTimeRouter router) {
    if (!worker.startedCold()) {
      return null;
    }
    long age = scheduler.now() - worker.startedAt();
    return router.now().minus(Duration.ofNanos(age * NANOS_PER_MICRO));
  }
}
