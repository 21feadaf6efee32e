package switchgap.testbed.soak;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.soak.WorkerEmulator.Misbehaviour;

/** Injects faults of workers: misbehaviour, lost connections, replacement and restarts. */
final class WorkerMisbehaviourFaults {
  private static final int ACCEPT_DELAY_MILLIS = 200;

  private static final Map<SoakFaultType, Misbehaviour> MISBEHAVIOURS =
      Map.of(
          SoakFaultType.WORKER_HANGS, Misbehaviour.HANGS,
          SoakFaultType.WORKER_REJECTS, Misbehaviour.REJECTS,
          SoakFaultType.WORKER_RESETS, Misbehaviour.RESETS_CONNECTIONS,
          SoakFaultType.WORKER_SPOILS_ANSWERS, Misbehaviour.MALFORMED_REPLIES,
          SoakFaultType.WORKER_ANSWERS_TWICE, Misbehaviour.DUPLICATE_REPLIES);

  private final EmulatedFleet fleet;

  WorkerMisbehaviourFaults(EmulatedFleet fleet) {
    this.fleet = fleet;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    Map<SoakFaultType, SoakFaultInjector> injectors = new EnumMap<>(SoakFaultType.class);
    MISBEHAVIOURS.forEach(
        (type, misbehaviour) ->
            injectors.put(
                type,
                (fault, random) ->
                    misbehave(pickServing(random), misbehaviour, fault.durationMillis())));
    injectors.put(
        SoakFaultType.WORKER_REPLACED, (fault, random) -> replace(random, fault.durationMillis()));
    WorkerRestarts restarts = new WorkerRestarts(fleet);
    injectors.put(
        SoakFaultType.WORKER_RESTARTED,
        (fault, random) -> restarts.restart(random, random.nextBoolean()));
    injectors.put(
        SoakFaultType.WORKER_CLOSES, (fault, random) -> pickServing(random).closeConnections());
    injectors.put(
        SoakFaultType.WORKER_ACCEPTS_LATE,
        (fault, random) -> acceptLate(pickServing(random), fault.durationMillis()));
    return injectors;
  }

  private WorkerEmulator pickServing(Random random) {
    return fleet.pickServing(random.nextInt());
  }

  private static void misbehave(
      WorkerEmulator worker, Misbehaviour misbehaviour, int durationMillis)
      throws InterruptedException {
    worker.setMisbehaviour(misbehaviour);
    Thread.sleep(durationMillis);
    worker.setMisbehaviour(Misbehaviour.NONE);
  }

  private void replace(Random random, int drainMillis) throws IOException, InterruptedException {
    WorkerEmulator replaced = fleet.replace(random.nextInt());
    Thread.sleep(drainMillis);
    fleet.remove(replaced);
  }

  private static void acceptLate(WorkerEmulator worker, int durationMillis)
      throws InterruptedException {
    worker.delayAccepts(ACCEPT_DELAY_MILLIS);
    worker.closeConnections();
    Thread.sleep(durationMillis);
    worker.delayAccepts(0);
  }
}
