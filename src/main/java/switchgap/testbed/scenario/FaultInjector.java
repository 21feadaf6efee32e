package switchgap.testbed.scenario;

/** Injects the faults of some types. */
interface FaultInjector {
  /**
   * Injects a fault and schedules its end.
   *
   * @return false if this injector does not support the type of the fault; nothing was done then
   */
  boolean inject(ScenarioFault fault);
}
