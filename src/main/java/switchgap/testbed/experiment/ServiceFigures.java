package switchgap.testbed.experiment;

import java.util.Map;
import java.util.TreeMap;
import switchgap.testbed.emulator.EmulatedClients;

/**
 * Figures about the service that a trial's clients received.
 *
 * @param overallService share of the requested weight that was earned
 * @param capacityBound largest share of the requested weight that the fleet's capacity allows to
 *     earn
 * @param objectiveMetShare share of the requests that met their latency objective, by request class
 * @param serviceByTenant share of the requested weight that was earned, by tenant
 */
record ServiceFigures(
    double overallService,
    double capacityBound,
    Map<String, Double> objectiveMetShare,
    Map<String, Double> serviceByTenant) {

  /** Computes the figures after all requests of the clients have ended. */
  static ServiceFigures of(EmulatedClients clients, double capacityBound) {
    Map<String, Double> objectiveMetShare = new TreeMap<>();
    clients
        .tallies()
        .forEach((name, tally) -> objectiveMetShare.put(name, tally.objectiveMetShare()));
    Map<String, Double> serviceByTenant = new TreeMap<>();
    clients
        .weightsByTenant()
        .forEach((tenant, weights) -> serviceByTenant.put(tenant, weights.service()));
    return new ServiceFigures(clients.service(), capacityBound, objectiveMetShare, serviceByTenant);
  }
}
