package switchgap.testbed.experiment;

import java.util.Map;
import java.util.TreeMap;
import switchgap.testbed.emulator.EmulatedClients;

/**
 * How a trial served its clients.
 *
 * @param overall share of the requested weight that was earned
 * @param bound the most that capacity alone allows
 * @param objectiveMetShare share of the requests that met their latency objective, by request class
 * @param byTenant share of the requested weight that was earned, by tenant
 */
record ServiceFigures(
    double overall,
    double bound,
    Map<String, Double> objectiveMetShare,
    Map<String, Double> byTenant) {

  /** The figures of clients whose requests have ended. */
  static ServiceFigures of(EmulatedClients clients, double bound) {
    Map<String, Double> objectiveMetShare = new TreeMap<>();
    clients
        .tallies()
        .forEach((name, tally) -> objectiveMetShare.put(name, tally.objectiveMetShare()));
    Map<String, Double> byTenant = new TreeMap<>();
    clients.weightsByTenant().forEach((tenant, weights) -> byTenant.put(tenant, weights.service()));
    return new ServiceFigures(clients.service(), bound, objectiveMetShare, byTenant);
  }
}
