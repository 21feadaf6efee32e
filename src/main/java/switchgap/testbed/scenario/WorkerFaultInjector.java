package switchgap.testbed.scenario;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import switchgap.testbed.emulator.EmulatedModelServer;
import switchgap.testbed.emulator.FunctionModel;
import switchgap.testbed.emulator.WorkerFaults;

/**
 * Injects faults of workers that keep running: slow execution, faulty responses and unloaded
 * replicas.
 */
final class WorkerFaultInjector implements FaultInjector {
  private static final Map<FaultType, WorkerFaults.Kind> SOCKET_FAULTS =
      new EnumMap<>(
          Map.of(
              FaultType.ERRORS,
              WorkerFaults.Kind.ERROR,
              FaultType.ANSWERS_LOST,
              WorkerFaults.Kind.LOST,
              FaultType.RESET_MID_ANSWER,
              WorkerFaults.Kind.RESET,
              FaultType.HALF_ANSWERS,
              WorkerFaults.Kind.HALF,
              FaultType.LATE_ANSWERS,
              WorkerFaults.Kind.LATE,
              FaultType.ANSWERED_TWICE,
              WorkerFaults.Kind.TWICE,
              FaultType.OVERSIZED_ANSWERS,
              WorkerFaults.Kind.OVERSIZED,
              FaultType.CLOSED_AT_REQUEST,
              WorkerFaults.Kind.CLOSED_AT_REQUEST,
              FaultType.SLOW_CONNECTIONS,
              WorkerFaults.Kind.SLOW_CONNECT));
  private final TestBed testBed;

  WorkerFaultInjector(TestBed testBed) {
    this.testBed = testBed;
  }

  @Override
  public boolean inject(ScenarioFault fault) {
    WorkerFaults.Kind socketFault = SOCKET_FAULTS.get(fault.type());
    if (socketFault != null) {
      injectSocketFault(fault, socketFault);
      return true;
    }
    switch (fault.type()) {
      case SLOW -> slowDown(fault);
      case RELEASED_ANEW -> unloadReleasedFunctions(fault);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void injectSocketFault(ScenarioFault fault, WorkerFaults.Kind kind) {
    List<EmulatedModelServer> affected = testBed.fleet().selectReady(fault.share());
    affected.forEach(server -> server.faults().set(kind, fault.strength()));
    testBed
        .scheduler()
        .after(fault.duration(), () -> affected.forEach(server -> server.faults().set(kind, 0)));
  }

  private void slowDown(ScenarioFault fault) {
    List<EmulatedModelServer> affected = testBed.fleet().selectReady(fault.share());
    affected.forEach(server -> server.worker().setSlowdown(fault.strength()));
    testBed
        .scheduler()
        .after(fault.duration(), () -> affected.forEach(server -> server.worker().setSlowdown(1)));
  }

  private void unloadReleasedFunctions(ScenarioFault fault) {
    for (FunctionModel function : testBed.catalogue().functions()) {
      if (testBed.faultTargetRandom().nextDouble() < fault.share()) {
        testBed.fleet().servers().forEach(server -> server.worker().unload(function.name()));
      }
    }
  }
}
