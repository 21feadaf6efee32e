package switchgap.testbed.scenario;

/** Injects faults of router processes and their planners. */
final class RouterFaultInjector implements FaultInjector {
  private static final long RESTART_OUTAGE_MICROS = 1_000_000;
  private final TestBed testBed;
  private final RouterGroup routers;

  RouterFaultInjector(TestBed testBed) {
    this.testBed = testBed;
    this.routers = testBed.routers();
  }

  @Override
  public boolean inject(ScenarioFault fault) {
    switch (fault.type()) {
      case ROUTER_KILLED -> killAndRestart(targetRouter(fault), fault.duration());
      case ROUTERS_RESTARTED -> restartOneByOne(fault);
      case ROUTER_PAUSED -> pause(targetRouter(fault), fault.duration());
      case PLANNERS_KILLED -> killPlanners(fault.duration());
      case PLANNERS_PAUSED -> pausePlanners(fault.duration());
      default -> {
        return false;
      }
    }
    return true;
  }

  private int targetRouter(ScenarioFault fault) {
    return (int) fault.strength() % routers.size();
  }

  private void restartOneByOne(ScenarioFault fault) {
    int count = (int) Math.max(1, Math.round(fault.share() * routers.size()));
    for (int i = 0; i < count; i++) {
      int router = i;
      testBed
          .scheduler()
          .after(fault.duration() * i / count, () -> killAndRestart(router, RESTART_OUTAGE_MICROS));
    }
  }

  private void killAndRestart(int router, long outageMicros) {
    testBed.recordScriptEvent(ScenarioEvent.ROUTER_KILLED.word(), "router", router);
    routers.host(router).kill();
    testBed
        .scheduler()
        .after(
            outageMicros,
            () -> {
              if (routers.start(router)) {
                testBed.recordScriptEvent(ScenarioEvent.ROUTER_STARTED.word(), "router", router);
              }
            });
  }

  private void killPlanners(long outageMicros) {
    for (RouterHost host : routers.hosts()) {
      long time = testBed.scheduler().now();
      testBed.recordScriptEventAt(time, "planner-killed", "done", host.killPlanner());
    }
    testBed.scheduler().after(outageMicros, routers::startPlanners);
  }

  private void pausePlanners(long durationMicros) {
    for (RouterHost host : routers.hosts()) {
      long time = testBed.scheduler().now();
      testBed.recordScriptEventAt(time, "planner-paused", "done", host.suspendPlanner());
    }
    testBed
        .scheduler()
        .after(durationMicros, () -> routers.hosts().forEach(host -> host.resumePlanner()));
  }

  /**
   * Suspends a router. Logs the time before the signal, because the router may have stopped before
   * the call that sends the signal returns.
   */
  private void pause(int router, long durationMicros) {
    long time = testBed.scheduler().now();
    boolean suspended = routers.host(router).suspend();
    testBed.recordScriptEventAt(
        time, ScenarioEvent.ROUTER_PAUSED.word(), "router", router, "done", suspended);
    testBed
        .scheduler()
        .after(
            durationMicros,
            () -> {
              routers.host(router).resume();
              testBed.recordScriptEvent(ScenarioEvent.ROUTER_RESUMED.word(), "router", router);
            });
  }
}
