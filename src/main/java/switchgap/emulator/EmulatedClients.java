package switchgap.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;

/**
 * Clients with open-loop arrivals: they do not wait for answers before they ask again. They give up at their limit,
 * retry what their workload allows, and keep count of what came of it. On the ticker's thread.
 */
public final class EmulatedClients {
    /** Spans in microseconds. {@code worth}: importance, {@code late}: share that a late answer earns. */
    public record RequestClassProfile(String workload, long target, long limit, double worth, double late,
        boolean retriesAll,
        boolean fingerprinted) {}

    /** How clients behave: retries at the most, share of the limit waited, pause, and how many heed come-back times. */
    public record RetryBehaviour(int retries, double leastShare, long backoff, double honour) {}

    /** What came of one workload's jobs; worth in units of importance. */
    public static final class Tally {
        public long jobs, tries, finished, late, pushedBack, killed, gaveUp, unreachable, refused;
        public double asked, earned;
    }

    /** Hears of each job's end: when it began, how long it took in all its tries (microseconds), and how the last one ended. */
    public interface ResultListener {
        void job(String workload, String customer, int router, long began, long took, int tries, String end,
            double earned);
    }

    private static final class ClientRequest {
        final String id;
        final FunctionModel model;
        final String customer;
        final int router;
        final long began;
        final RequestClassProfile wish;
        final int hammers;
        /** Its own, so that how answers come moves no other job: the same seed brings the same arrivals, whatever becomes of them. */
        final SplittableRandom chance;
        int tries;

        ClientRequest(String id, FunctionModel model, String customer, int router, long began,
            RequestClassProfile wish, int hammers,
            SplittableRandom chance) {
            this.id = id;
            this.model = model;
            this.customer = customer;
            this.router = router;
            this.began = began;
            this.wish = wish;
            this.hammers = hammers;
            this.chance = chance;
        }
    }

    private final Scheduler ticker;
    private final ClientTransport way;
    private final FunctionCatalogue catalogue;
    private final RequestClassProfile[] wishes;
    private final RetryBehaviour manner;
    private final double[] routerShare;
    private final Map<String, Double> customers;
    private final SplittableRandom chance;
    private final String[] zones;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Map<Long, double[]> windows = new TreeMap<>();
    private final Map<String, double[]> byCustomer = new TreeMap<>();
    private final Map<String, Double> burst = new HashMap<>();
    private final boolean[] moved;
    private final Map<String, Integer> hammering = new HashMap<>();
    private ResultListener heard = (w, c, r, b, t, n, e, x) -> {};
    private LongConsumer sent = late -> {};
    private double rate;
    private double times = 1;
    private LongToDoubleFunction curve = t -> 1;
    private long until;
    private long began;
    private long due;
    private long next;
    private long open;

    /** {@code rate} jobs a second in all; shares of routers and customers sum to one. */
    public EmulatedClients(Scheduler ticker, ClientTransport way, FunctionCatalogue catalogue,
        RequestClassProfile[] wishes, RetryBehaviour manner, double rate,
        double[] routerShare, Map<String, Double> customers, long seed) {
        this.ticker = ticker;
        this.way = way;
        this.catalogue = catalogue;
        this.wishes = wishes;
        this.manner = manner;
        this.rate = rate;
        this.routerShare = routerShare.clone();
        this.customers = customers;
        this.chance = new SplittableRandom(seed);
        this.zones = new String[routerShare.length];
        this.moved = new boolean[routerShare.length];
        for (RequestClassProfile w : wishes) { tallies.put(w.workload, new Tally()); }
    }

    /** The zone of a router, for traffic that moves. */
    public void zone(int router, String zone) {
        zones[router] = zone;
    }

    /** Who hears of each job's end. */
    public void heard(ResultListener h) { heard = h; }

    /** Who hears for each job by how many microseconds it is sent after it was due. */
    public void sent(LongConsumer s) {
        sent = s;
    }

    /** The load over time: a factor on the rate, by microseconds since the start. */
    public void curve(LongToDoubleFunction c) {
        curve = c;
    }

    public void burst(double factor) { times = factor; }

    /** One customer's rate times this; 1 ends it. */
    public void burst(String customer, double factor) {
        if (factor == 1) {
            burst.remove(customer);
        } else {
            burst.put(customer, factor);
        }
    }

    /** One customer's clients give up at a short equal time and retry at once, so many times; 0 ends it. */
    public void hammer(String customer, int retries) {
        if (retries == 0) {
            hammering.remove(customer);
        } else {
            hammering.put(customer, retries);
        }
    }

    /** Traffic goes to the routers of one zone only; null ends it. */
    public void moveTo(String zone) {
        for (int i = 0; i < moved.length; i++) { moved[i] = zone != null && !zone.equals(zones[i]); }
    }

    /** Jobs come until this time. */
    public void start(long end) {
        began = ticker.now();
        until = end;
        due = began;
        arrive();
    }

    /** Tries still out. */
    public long open() { return open; }

    public Map<String, Tally> tallies() { return tallies; }

    /** Worth earned over worth asked for, over all workloads. */
    public double service() {
        double asked = tallies.values().stream().mapToDouble(t -> t.asked).sum();
        return tallies.values().stream().mapToDouble(t -> t.earned).sum() / Math.max(asked, 1e-9);
    }

    /** Worth earned over worth asked for in the worst window of so many seconds. */
    public double worst(int seconds) {
        double worst = 1;
        int whole = (int) ((until - began) / 1_000_000);
        if (whole < seconds) { return worst(Math.max(1, whole)); }
        for (long w : windows.keySet()) {
            double asked = 0;
            double earned = 0;
            for (long i = w; i < w + seconds; i++) {
                double[] v = windows.getOrDefault(i, new double[2]);
                asked += v[0];
                earned += v[1];
            }
            if (w + seconds <= whole && asked > 0) { worst = Math.min(worst, earned / asked); }
        }
        return worst;
    }

    private void arrive() {
        long now = due; // not when it came to be sent: a sender that falls behind must not thin out the load
        if (now >= until) { return; }
        double more = 1;
        for (var b : burst.entrySet()) { more += customers.get(b.getKey()) * (b.getValue() - 1); }
        due += (long) (-Math.log(1 - chance.nextDouble()) / (rate * times * more
            * Math.max(1e-3, curve.applyAsDouble(now - began))) * 1e6);
        ticker.after(due - ticker.now(), this::arrive);
        FunctionModel m = catalogue.draw(chance);
        String customer = customer(more);
        int r = router();
        RequestClassProfile w = wishes[m.workload()];
        ClientRequest j = new ClientRequest("j" + next++, m, customer, r, now, w,
            hammering.getOrDefault(customer, 0), chance.split());
        Tally t = tallies.get(w.workload);
        t.jobs++;
        t.asked += w.worth;
        window(j)[0] += w.worth;
        customer(customer)[0] += w.worth;
        sent.accept(ticker.now() - now);
        attempt(j);
    }

    private String customer(double total) {
        double u = chance.nextDouble() * total;
        String last = "";
        for (var c : customers.entrySet()) {
            last = c.getKey();
            u -= c.getValue() * burst.getOrDefault(last, 1.0);
            if (u < 0) { break; }
        }
        return last;
    }

    private int router() {
        double sum = 0;
        for (int i = 0; i < routerShare.length; i++) { sum += moved[i] ? 0 : routerShare[i]; }
        double u = chance.nextDouble() * sum;
        int last = 0;
        for (int i = 0; i < routerShare.length; i++) {
            if (moved[i]) { continue; }
            last = i;
            u -= routerShare[i];
            if (u < 0) { break; }
        }
        return last;
    }

    private void attempt(ClientRequest j) {
        j.tries++;
        open++;
        tallies.get(j.wish.workload).tries++;
        double share = j.hammers > 0 ? 0.3
            : manner.leastShare + (1 - manner.leastShare) * j.chance.nextDouble();
        long limit = ticker.now() + (long) (j.wish.limit * share);
        way.send(
            new ClientTransport.ClientAttempt(j.id + "." + j.tries, j.id, j.model, j.customer, j.router,
                limit,
                j.wish.fingerprinted ? j.id : null),
            (end, status, comeBack) -> over(j, end, status, comeBack));
    }

    private void over(ClientRequest j, String end, int status, long comeBack) {
        open--;
        Tally t = tallies.get(j.wish.workload);
        boolean pushed = end.equals("pushed-back");
        if (end.equals("finished") && status < 300) {
            long took = ticker.now() - j.began;
            boolean late = took > j.wish.target;
            double worth = late ? j.wish.worth * j.wish.late : j.wish.worth;
            t.finished++;
            t.late += late ? 1 : 0;
            t.earned += worth;
            window(j)[1] += worth;
            customer(j.customer)[1] += worth;
            ended(j, end, worth);
            return;
        }
        switch (end) {
            case "pushed-back" -> t.pushedBack++;
            case "killed" -> t.killed++;
            case "gave-up" -> t.gaveUp++;
            case "refused" -> t.refused++;
            default -> t.unreachable++;
        }
        boolean may = pushed || end.equals("unreachable") || j.wish.retriesAll && !end.equals("refused");
        int most = j.hammers > 0 ? j.hammers : manner.retries;
        if (!may || j.tries > most) {
            ended(j, end, 0);
            return;
        }
        long pause = j.hammers > 0 ? 0 : manner.backoff << Math.min(4, j.tries - 1);
        if (j.hammers == 0 && comeBack >= 0 && j.chance.nextDouble() < manner.honour) {
            pause = Math.max(pause, comeBack * 1000);
        }
        ticker.after(pause, () -> attempt(j));
    }

    private void ended(ClientRequest j, String end, double worth) {
        heard.job(j.wish.workload, j.customer, j.router, j.began, ticker.now() - j.began, j.tries, end,
            worth);
    }

    private double[] window(ClientRequest j) {
        return windows.computeIfAbsent((j.began - began) / 1_000_000, k -> new double[2]);
    }

    private double[] customer(String name) { return byCustomer.computeIfAbsent(name, k -> new double[2]); }

    /** Worth asked for and earned by each customer. */
    public Map<String, double[]> customers() {
        return byCustomer;
    }

    /** Worth asked for and earned of the jobs that began in each second. */
    public Map<Long, double[]> seconds() {
        return windows;
    }
}
