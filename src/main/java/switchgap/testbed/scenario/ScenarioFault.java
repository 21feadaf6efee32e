package switchgap.testbed.scenario;

/**
 * One entry of the fault script. Times are in microseconds.
 *
 * @param startsAt start of the fault, relative to the start of the scenario
 * @param type type of the fault
 * @param duration how long the fault lasts
 * @param share share of the workers, functions, requests or routers that the fault affects
 * @param strength strength of the fault; depending on its type a factor, a share, a number, an
 *     index or a time in seconds
 * @param target name of the affected tenant or zone, null for the first one of the scenario
 */
public record ScenarioFault(
    long startsAt, FaultType type, long duration, double share, double strength, String target) {}
