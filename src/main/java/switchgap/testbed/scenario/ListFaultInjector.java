package switchgap.testbed.scenario;

/** Injects faults of the endpoint list service, and shifts of traffic between zones. */
final class ListFaultInjector implements FaultInjector {
  private static final double MICROS_PER_SECOND = 1e6;
  private final TestBed testBed;

  ListFaultInjector(TestBed testBed) {
    this.testBed = testBed;
  }

  @Override
  public boolean inject(ScenarioFault fault) {
    switch (fault.type()) {
      case TRAFFIC_MOVED -> {
        testBed
            .clients()
            .shiftTrafficTo(
                fault.target() == null ? testBed.scenario().zoneName(0) : fault.target());
        testBed.scheduler().after(fault.duration(), () -> testBed.clients().shiftTrafficTo(null));
      }
      case LIST_LATE -> {
        long configuredLag = testBed.scenario().listLag();
        testBed
            .endpointList()
            .setLag(configuredLag + (long) (fault.strength() * MICROS_PER_SECOND));
        testBed
            .scheduler()
            .after(fault.duration(), () -> testBed.endpointList().setLag(configuredLag));
      }
      case LIST_AWAY -> {
        testBed.endpointList().setUnavailable(true);
        testBed
            .scheduler()
            .after(fault.duration(), () -> testBed.endpointList().setUnavailable(false));
      }
      default -> {
        return false;
      }
    }
    return true;
  }
}
