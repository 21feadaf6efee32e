package switchgap.testbed.scenario;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EmulatedStore;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.Scheduler;

/**
 * Injects faults of clients, functions and the store, both over sockets and in virtual time. Runs
 * on the scheduler's thread.
 */
public final class LoadFaults {
  private static final int MAX_HAMMERING_RETRIES = 12;
  private final Scheduler scheduler;
  private final EmulatedClients clients;
  private final FunctionCatalogue catalogue;
  private final EmulatedStore store;
  private final Map<String, Double> tenantShares;

  /**
   * Creates an injector for the emulators of one test bed.
   *
   * @param scheduler schedules the end of each fault
   * @param clients emulated clients whose traffic changes
   * @param catalogue functions that clients request
   * @param store emulated store that becomes slower
   * @param tenantShares share of the requests by tenant; a fault without a target affects the first
   */
  public LoadFaults(
      Scheduler scheduler,
      EmulatedClients clients,
      FunctionCatalogue catalogue,
      EmulatedStore store,
      Map<String, Double> tenantShares) {
    this.scheduler = scheduler;
    this.clients = clients;
    this.catalogue = catalogue;
    this.store = store;
    this.tenantShares = tenantShares;
  }

  /**
   * Selects a random sample of a list.
   *
   * @param candidates mutable list; elements that are not selected are removed from it
   * @param share share of the elements to select, from 0 to 1; of a non-empty list at least one
   *     element remains
   * @param random random number generator of the selection
   * @return {@code candidates}
   */
  public static <T> List<T> drawShare(List<T> candidates, double share, SplittableRandom random) {
    int count = Math.max(1, (int) Math.round(share * candidates.size()));
    while (candidates.size() > count) {
      candidates.remove(random.nextInt(candidates.size()));
    }
    return candidates;
  }

  /**
   * Injects a fault and schedules its end.
   *
   * @return false if this class does not support the type of the fault; nothing was done then
   */
  public boolean inject(ScenarioFault fault) {
    String tenant =
        fault.target() == null ? tenantShares.keySet().iterator().next() : fault.target();
    switch (fault.type()) {
      case BURST ->
          applyAndRevert(
              fault, () -> clients.setRateFactor(fault.strength()), () -> clients.setRateFactor(1));
      case CUSTOMER_BURST ->
          applyAndRevert(
              fault,
              () -> clients.setRateFactor(tenant, fault.strength()),
              () -> clients.setRateFactor(tenant, 1));
      case HAMMERING ->
          applyAndRevert(
              fault,
              () -> clients.setRetryStorm(tenant, MAX_HAMMERING_RETRIES),
              () -> clients.setRetryStorm(tenant, 0));
      case HOT_FUNCTIONS ->
          applyAndRevert(
              fault,
              () -> catalogue.setHotFunctions(fault.share(), (int) Math.max(1, fault.strength())),
              () -> catalogue.setHotFunctions(0, 1));
      case ONE_OFF_FUNCTIONS ->
          applyAndRevert(
              fault,
              () -> catalogue.setOneOffShare(fault.share()),
              () -> catalogue.setOneOffShare(0));
      case STORE_SLOW ->
          applyAndRevert(
              fault, () -> store.setSlowdown(fault.strength()), () -> store.setSlowdown(1));
      default -> {
        return false;
      }
    }
    return true;
  }

  private void applyAndRevert(ScenarioFault fault, Runnable apply, Runnable revert) {
    apply.run();
    scheduler.after(fault.duration(), revert);
  }
}
