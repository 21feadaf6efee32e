package switchgap.testbed.scenario;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EmulatedStore;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.Scheduler;

/**
 * Injects the faults of clients, functions and the store: the same over sockets and in virtual
 * time.
 */
public final class LoadFaults {
  private static final int HAMMERING_RETRIES = 12;
  private final Scheduler scheduler;
  private final EmulatedClients clients;
  private final FunctionCatalogue catalogue;
  private final EmulatedStore store;
  private final Map<String, Double> tenants;

  /** {@code customers}: share of the requests by tenant; a fault that names none hits the first. */
  public LoadFaults(
      Scheduler scheduler,
      EmulatedClients clients,
      FunctionCatalogue catalogue,
      EmulatedStore store,
      Map<String, Double> customers) {
    this.scheduler = scheduler;
    this.clients = clients;
    this.catalogue = catalogue;
    this.store = store;
    this.tenants = customers;
  }

  /**
   * Draws a share of a list, one element at the least; elements not drawn are removed from the list
   * given.
   */
  public static <T> List<T> drawShare(List<T> candidates, double part, SplittableRandom random) {
    int count = Math.max(1, (int) Math.round(part * candidates.size()));
    while (candidates.size() > count) {
      candidates.remove(random.nextInt(candidates.size()));
    }
    return candidates;
  }

  /** Injects a fault and schedules its end; false where the fault is of another type. */
  public boolean inject(Scenario.Fault fault) {
    String tenant = fault.target() == null ? tenants.keySet().iterator().next() : fault.target();
    switch (fault.type()) {
      case BURST ->
          during(
              fault, () -> clients.setRateFactor(fault.strength()), () -> clients.setRateFactor(1));
      case CUSTOMER_BURST ->
          during(
              fault,
              () -> clients.setRateFactor(tenant, fault.strength()),
              () -> clients.setRateFactor(tenant, 1));
      case HAMMERING ->
          during(
              fault,
              () -> clients.setRetryStorm(tenant, HAMMERING_RETRIES),
              () -> clients.setRetryStorm(tenant, 0));
      case HOT_FUNCTIONS ->
          during(
              fault,
              () -> catalogue.setHotFunctions(fault.share(), (int) Math.max(1, fault.strength())),
              () -> catalogue.setHotFunctions(0, 1));
      case ONE_OFF_FUNCTIONS ->
          during(
              fault,
              () -> catalogue.setOneOffShare(fault.share()),
              () -> catalogue.setOneOffShare(0));
      case STORE_SLOW ->
          during(fault, () -> store.setSlowdown(fault.strength()), () -> store.setSlowdown(1));
      default -> {
        return false;
      }
    }
    return true;
  }

  private void during(Scenario.Fault fault, Runnable begin, Runnable end) {
    begin.run();
    scheduler.after(fault.duration(), end);
  }
}
