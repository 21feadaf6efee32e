package switchgap.scenario;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.EmulatedStore;
import switchgap.emulator.FunctionCatalogue;
import switchgap.emulator.Scheduler;

/** The troubles that clients, functions and the store bring: the same over sockets and in simulated time. */
public final class LoadFaults {
    private static final int HAMMERED = 12;
    private final Scheduler ticker;
    private final EmulatedClients clients;
    private final FunctionCatalogue catalogue;
    private final EmulatedStore store;
    private final Map<String, Double> customers;

    public LoadFaults(Scheduler ticker, EmulatedClients clients, FunctionCatalogue catalogue,
        EmulatedStore store, Map<String, Double> customers) {
        this.ticker = ticker;
        this.clients = clients;
        this.catalogue = catalogue;
        this.store = store;
        this.customers = customers;
    }

    /** A share of all by chance, one at the least; takes from the list given. */
    public static <T> List<T> some(List<T> all, double part, SplittableRandom chance) {
        int n = Math.max(1, (int) Math.round(part * all.size()));
        while (all.size() > n) { all.remove(chance.nextInt(all.size())); }
        return all;
    }

    /** Brings a trouble and ends it after its span; false where it is none of these. */
    public boolean bring(Scenario.Fault t) {
        String customer = t.of() == null ? customers.keySet().iterator().next() : t.of();
        switch (t.verb()) {
            case BURST -> {
                clients.burst(t.size());
                ticker.after(t.lasts(), () -> clients.burst(1));
            }
            case CUSTOMER_BURST -> {
                clients.burst(customer, t.size());
                ticker.after(t.lasts(), () -> clients.burst(customer, 1));
            }
            case HAMMERING -> {
                clients.hammer(customer, HAMMERED);
                ticker.after(t.lasts(), () -> clients.hammer(customer, 0));
            }
            case HOT_FUNCTIONS -> {
                catalogue.hot(t.part(), (int) Math.max(1, t.size()));
                ticker.after(t.lasts(), () -> catalogue.hot(0, 1));
            }
            case ONE_OFF_FUNCTIONS -> {
                catalogue.once(t.part());
                ticker.after(t.lasts(), () -> catalogue.once(0));
            }
            case STORE_SLOW -> {
                store.slow(t.size());
                ticker.after(t.lasts(), () -> store.slow(1));
            }
            default -> {
                return false;
            }
        }
        return true;
    }
}
