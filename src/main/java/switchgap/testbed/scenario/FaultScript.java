package switchgap.testbed.scenario;

import java.util.List;

/** Injects the faults of a scenario at their start times. Runs on the scheduler's thread. */
final class FaultScript {
  private final TestBed testBed;
  private final List<FaultInjector> injectors;

  FaultScript(TestBed testBed) {
    this.testBed = testBed;
    LoadFaults loadFaults =
        new LoadFaults(
            testBed.scheduler(),
            testBed.clients(),
            testBed.catalogue(),
            testBed.store(),
            testBed.scenario().tenantShares());
    this.injectors =
        List.of(
            loadFaults::inject,
            new WorkerFaultInjector(testBed),
            new WorkerReplacementInjector(testBed),
            new ListFaultInjector(testBed),
            new RouterFaultInjector(testBed));
  }

  void start() {
    for (ScenarioFault fault : testBed.scenario().faults()) {
      testBed.scheduler().after(fault.startsAt(), () -> inject(fault));
    }
  }

  private void inject(ScenarioFault fault) {
    testBed.recordScriptEvent(
        "trouble",
        "verb",
        fault.type().name(),
        "lasts",
        fault.duration(),
        "part",
        fault.share(),
        "size",
        fault.strength());
    for (FaultInjector injector : injectors) {
      if (injector.inject(fault)) {
        return;
      }
    }
    throw new IllegalStateException("no injector for faults of type " + fault.type());
  }
}
