package switchgap.testbed.soak;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Plays planned faults, each on a thread of its own, with the injector of its type. */
final class FaultRunner {
  private final SoakRecords records;
  private final ActiveFaults active;
  private final Map<SoakFaultType, SoakFaultInjector> injectors =
      new EnumMap<>(SoakFaultType.class);

  /**
   * A runner for one run.
   *
   * @param routers the routers, started
   * @param fleet the workers
   * @param eventStream address of the event stream that the routers were started with
   * @param records receives outages, and faults that could not be injected
   * @param active receives the types that are active, for the clients
   * @param timeoutMillis the longest timeout of requests
   */
  FaultRunner(
      List<ServeProcess> routers,
      EmulatedFleet fleet,
      EventStreamEmulator eventStream,
      SoakRecords records,
      ActiveFaults active,
      int timeoutMillis) {
    this.records = records;
    this.active = active;
    RouterPool pool = new RouterPool(routers);
    EventStreamFaults eventStreamFaults =
        new EventStreamFaults(routers, fleet, eventStream, records);
    injectors.putAll(eventStreamFaults.injectors());
    injectors.putAll(
        new RouterProcessFaults(pool, fleet, eventStreamFaults::address, records, timeoutMillis)
            .injectors());
    injectors.putAll(new WorkerMisbehaviourFaults(fleet).injectors());
    injectors.putAll(new ClientLoadFaults(pool).injectors());
    injectors.putAll(new SystemCallFaultInjectors(pool, records).injectors());
  }

  /** Plays a fault from its start to its end; blocks meanwhile. */
  void play(PlannedFault fault) {
    active.begin(fault.type());
    try {
      injectors
          .getOrDefault(fault.type(), FaultRunner::leaveToClients)
          .inject(fault, new Random(fault.seed()));
    } catch (IOException e) {
      records.addProcessFault(fault + " was not played: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      active.end(fault.type());
    }
  }

  /** Clients misbehave by themselves while a fault of theirs is active. */
  private static void leaveToClients(PlannedFault fault, Random random)
      throws InterruptedException {
    Thread.sleep(fault.durationMillis());
  }
}
