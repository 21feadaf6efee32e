package switchgap.testbed.scenario;

/** Injects some types of faults. */
interface FaultInjector {
  /** Injects a fault and schedules its end; false where the fault is of another type. */
  boolean inject(ScenarioFault fault);
}
