package switchgap.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.emulator.EmulatedClients;
import switchgap.scenario.Scenario;

/** One variant over one curve with one seed, and what came of it. */
final class Trial {
    private static final double CALM = 0.7; // of capacity: nothing more is too much
    final Variant variant;
    final long seed;
    final long seconds;
    final double service;
    final double bound;
    /** Start targets met, by workload. */
    final Map<String, Double> inTarget = new TreeMap<>();
    final Map<String, Double> byCustomer = new TreeMap<>();
    /** For each second: load, worth earned over asked, mean depth of the common ladder (rung + depth), share of routers below full. */
    final List<double[]> course = new ArrayList<>();
    final Map<ServiceLevel, Double> timeAt = new TreeMap<>();
    final List<Emulator.RouterLevelChange> changed;
    final int changes;
    /** Changes of customers' own ladders. */
    final Map<String, Integer> own = new TreeMap<>();
    /** The most changes that one router made within four of its shortest stays. */
    final int mostInFourStays;
    /** Seconds from the first second after which load stays under 0.7 until all routers stay at full service; -1 never. */
    final long backAfter;
    final long events;
    /** Mean share of the fleet's cores at work. */
    final double busy;

    Trial(Scenario day, long seed, Variant variant, LoadCurve curve) {
        this.variant = variant;
        this.seed = seed;
        this.seconds = curve.seconds();
        double full = day.capacity() / day.meanWork() / day.rate();
        Emulator e = new Emulator(day, seed, variant, t -> curve.at(t) * full);
        curve.bring(e.ticker, e.clients);
        double[] busySum = new double[1];
        e.play(seconds, s -> {
            busySum[0] += e.busy();
            double depth = 0;
            int below = 0;
            for (EmulatedRouter r : e.routers) {
                AdmissionController l = r.gate().admission();
                if (l != null) {
                    l.tick(r.now());
                    depth += l.level().ordinal() == 0 ? 0 : l.level().ordinal() - 2 + l.shedFraction();
                    below += l.level() == ServiceLevel.FULL ? 0 : 1;
                }
            }
            course.add(new double[] {curve.at(s * 1_000_000), 0, depth / e.routers.size(),
                below / (double) e.routers.size()});
        });
        for (var t : e.clients.tallies().entrySet()) {
            EmulatedClients.Tally v = t.getValue();
            inTarget.put(t.getKey(), (v.finished - v.late) / (double) Math.max(1, v.jobs));
        }
        service = e.clients.service();
        e.clients.customers().forEach((c, v) -> byCustomer.put(c, v[1] / Math.max(v[0], 1e-9)));
        e.clients.seconds().forEach((s, v) -> {
            if (s < course.size()) { course.get(s.intValue())[1] = v[1] / Math.max(v[0], 1e-9); }
        });
        bound = bound(day, curve);
        int[] each = new int[e.routers.size()];
        for (Emulator.RouterLevelChange c : e.changes) {
            if (c.change().tenant() < 0) {
                each[c.router()]++;
            } else {
                own.merge(customer(day, c.change().tenant()), 1, Integer::sum);
            }
        }
        changed = e.changes;
        changes = Arrays.stream(each).sum();
        mostInFourStays = mostInFourStays(e);
        for (EmulatedRouter r : e.routers) {
            if (r.gate().admission() != null) {
                for (ServiceLevel g : ServiceLevel.values()) {
                    timeAt.merge(g, r.gate().admission().timeAt(g).toMillis() / 1000.0 / e.routers.size(),
                        Double::sum);
                }
            }
        }
        backAfter = backAfter();
        events = e.ticker.events();
        busy = busySum[0] / Math.max(1, seconds);
    }

    static String customer(Scenario day, int index) {
        return List.copyOf(day.customers().keySet()).get(index);
    }

    private static int mostInFourStays(Emulator e) {
        int most = 0;
        for (int r = 0; r < e.routers.size(); r++) {
            if (e.routers.get(r).gate().admission() == null) { continue; }
            Duration span = e.routers.get(r).gate().admission().minStay().multipliedBy(4);
            ArrayDeque<Duration> within = new ArrayDeque<>();
            for (Emulator.RouterLevelChange c : e.changes) {
                if (c.router() != r || c.change().tenant() >= 0) { continue; }
                while (!within.isEmpty() && c.change().at().minus(within.peek()).compareTo(span) > 0) {
                    within.poll();
                }
                within.add(c.change().at());
                most = Math.max(most, within.size());
            }
        }
        return most;
    }

    private long backAfter() {
        if (course.stream().noneMatch(c -> c[0] > 1)) { return -1; }
        int fell = course.size();
        while (fell > 0 && course.get(fell - 1)[0] < CALM) { fell--; }
        int back = course.size();
        while (back > 0 && course.get(back - 1)[3] == 0) { back--; }
        return back >= course.size() ? -1 : Math.max(0, back - fell);
    }

    /** Worth that capacity alone allows: each second the most worth for work first. */
    private static double bound(Scenario day, LoadCurve curve) {
        double asked = 0;
        double earned = 0;
        List<double[]> kinds = day.kindsOfWork();
        kinds.sort((a, b) -> Double.compare(b[1] / b[2], a[1] / a[2]));
        for (long s = 0; s < curve.seconds(); s++) {
            double load = curve.at(s * 1_000_000);
            double left = 1;
            for (double[] k : kinds) { // share of jobs, importance, work over the mean
                double work = load * k[0] * k[2];
                double did = Math.min(left, work);
                left -= did;
                asked += load * k[0] * k[1];
                earned += load * k[0] * k[1] * (work == 0 ? 1 : did / work);
            }
        }
        return earned / asked;
    }
}
