package switchgap.testbed.scenario;

/**
 * One entry of the fault script. Times are in microseconds.
 *
 * @param startsAt start, counted from the start of the scenario
 * @param type what fails
 * @param duration how long it lasts
 * @param share share of the candidates that are affected: workers, functions, requests or routers
 * @param strength its strength; depending on the type a factor, a share, a number or seconds
 * @param target the tenant or zone that is affected, null for the first one
 */
public record ScenarioFault(
    long startsAt, FaultType type, long duration, double share, double strength, String target) {}
