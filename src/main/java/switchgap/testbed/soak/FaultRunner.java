package switchgap.testbed.soak;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Injects planned faults, each by the injector of its type on the caller's thread. */
final class FaultRunner {
  private final SoakRecords records;
  private final ActiveFaults activeFaults;
  private final Map<SoakFaultType, SoakFaultInjector> injectors =
      new EnumMap<>(SoakFaultType.class);

  /**
   * Creates the injectors of one run.
   *
   * @param routers all routers, started
   * @param fleet the workers
   * @param eventStream event stream that the routers were started with
   * @param records receives outages, and process faults for faults that could not be injected
   * @param activeFaults receives the active types, which clients act on
   * @param maxTimeoutMillis longest timeout in the routers' settings
   */
  FaultRunner(
      List<ServeProcess> routers,
      EmulatedFleet fleet,
      EventStreamEmulator eventStream,
      SoakRecords records,
      ActiveFaults activeFaults,
      int maxTimeoutMillis) {
    this.records = records;
    this.activeFaults = activeFaults;
    RouterPool pool = new RouterPool(routers);
    EventStreamFaults eventStreamFaults =
        new EventStreamFaults(routers, fleet, eventStream, records);
    injectors.putAll(eventStreamFaults.injectors());
    injectors.putAll(
        new RouterProcessFaults(pool, fleet, eventStreamFaults::address, records, maxTimeoutMillis)
            .injectors());
    injectors.putAll(new WorkerMisbehaviourFaults(fleet).injectors());
    injectors.putAll(new ClientLoadFaults(pool).injectors());
    injectors.putAll(new SystemCallFaultInjectors(pool, records).injectors());
  }

  /** Injects a fault and blocks until its end. */
  void run(PlannedFault fault) {
    activeFaults.begin(fault.type());
    try {
      injectors
          .getOrDefault(fault.type(), FaultRunner::waitWhileClientsMisbehave)
          .inject(fault, new Random(fault.seed()));
    } catch (IOException e) {
      records.addProcessFault(fault + " could not be injected: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      activeFaults.end(fault.type());
    }
  }

  /** Faults of clients have no injector: clients act on the active types. */
  private static void waitWhileClientsMisbehave(PlannedFault fault, Random random)
      throws InterruptedException {
    Thread.sleep(fault.durationMillis());
  }
}
