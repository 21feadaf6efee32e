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
    private static final double CALM_LOAD = 0.7; // of capacity: nothing more is too much
    final Variant variant;
    final long seed;
    final long seconds;
    final double service;
    final double bound;
    /** Start targets met, by workload. */
    final Map<String, Double> objectiveMetShare = new TreeMap<>();
    final Map<String, Double> serviceByTenant = new TreeMap<>();
    /** For each second: load, worth earned over asked, mean depth of the common ladder (rung + depth), share of routers below full. */
    final List<double[]> samples = new ArrayList<>();
    final Map<ServiceLevel, Double> secondsAtLevel = new TreeMap<>();
    final List<Emulator.RouterLevelChange> levelChanges;
    final int changeCount;
    /** Changes of customers' own ladders. */
    final Map<String, Integer> tenantLevelChanges = new TreeMap<>();
    /** The most changes that one router made within four of its shortest stays. */
    final int maxChangesInFourStays;
    /** Seconds from the first second after which load stays under 0.7 until all routers stay at full service; -1 never. */
    final long recoverySeconds;
    final long eventCount;
    /** Mean share of the fleet's cores at work. */
    final double meanUtilization;

    Trial(Scenario scenario, long seed, Variant variant, LoadCurve curve) {
        this.variant = variant;
        this.seed = seed;
        this.seconds = curve.seconds();
        double full = scenario.capacity() / scenario.meanWork() / scenario.rate();
        Emulator emulator = new Emulator(scenario, seed, variant, micros -> curve.at(micros) * full);
        curve.schedule(emulator.scheduler, emulator.clients);
        double[] busySum = new double[1];
        emulator.play(seconds, second -> {
            busySum[0] += emulator.meanUtilization();
            double levelSum = 0;
            int below = 0;
            for (EmulatedRouter router : emulator.routers) {
                AdmissionController admission = router.gate().admission();
                if (admission != null) {
                    admission.tick(router.now());
                    levelSum += admission.level().ordinal() == 0 ? 0
                        : admission.level().ordinal() - 2 + admission.shedFraction();
                    below += admission.level() == ServiceLevel.FULL ? 0 : 1;
                }
            }
            samples.add(new double[] {curve.at(second * 1_000_000), 0, levelSum / emulator.routers.size(),
                below / (double) emulator.routers.size()});
        });
        for (var entry : emulator.clients.tallies().entrySet()) {
            EmulatedClients.Tally tally = entry.getValue();
            objectiveMetShare.put(entry.getKey(),
                (tally.finished - tally.late) / (double) Math.max(1, tally.jobs));
        }
        service = emulator.clients.service();
        emulator.clients.customers().forEach(
            (tenant, worth) -> serviceByTenant.put(tenant, worth[1] / Math.max(worth[0], 1e-9)));
        emulator.clients.seconds().forEach((second, worth) -> {
            if (second < samples.size()) {
                samples.get(second.intValue())[1] = worth[1] / Math.max(worth[0], 1e-9);
            }
        });
        bound = capacityBound(scenario, curve);
        int[] each = new int[emulator.routers.size()];
        for (Emulator.RouterLevelChange change : emulator.changes) {
            if (change.change().tenant() < 0) {
                each[change.router()]++;
            } else {
                tenantLevelChanges.merge(tenantName(scenario, change.change().tenant()), 1, Integer::sum);
            }
        }
        levelChanges = emulator.changes;
        changeCount = Arrays.stream(each).sum();
        maxChangesInFourStays = maxChangesInFourStays(emulator);
        for (EmulatedRouter router : emulator.routers) {
            if (router.gate().admission() != null) {
                for (ServiceLevel level : ServiceLevel.values()) {
                    secondsAtLevel.merge(level,
                        router.gate().admission().timeAt(level).toMillis() / 1000.0 / emulator.routers.size(),
                        Double::sum);
                }
            }
        }
        recoverySeconds = recoverySeconds();
        eventCount = emulator.scheduler.events();
        meanUtilization = busySum[0] / Math.max(1, seconds);
    }

    static String tenantName(Scenario scenario, int index) {
        return List.copyOf(scenario.customers().keySet()).get(index);
    }

    private static int maxChangesInFourStays(Emulator emulator) {
        int maxChanges = 0;
        for (int r = 0; r < emulator.routers.size(); r++) {
            if (emulator.routers.get(r).gate().admission() == null) { continue; }
            Duration window = emulator.routers.get(r).gate().admission().minStay().multipliedBy(4);
            ArrayDeque<Duration> within = new ArrayDeque<>();
            for (Emulator.RouterLevelChange change : emulator.changes) {
                if (change.router() != r || change.change().tenant() >= 0) { continue; }
                while (!within.isEmpty() && change.change().at().minus(within.peek()).compareTo(window) > 0) {
                    within.poll();
                }
                within.add(change.change().at());
                maxChanges = Math.max(maxChanges, within.size());
            }
        }
        return maxChanges;
    }

    private long recoverySeconds() {
        if (samples.stream().noneMatch(sample -> sample[0] > 1)) { return -1; }
        int fell = samples.size();
        while (fell > 0 && samples.get(fell - 1)[0] < CALM_LOAD) { fell--; }
        int back = samples.size();
        while (back > 0 && samples.get(back - 1)[3] == 0) { back--; }
        return back >= samples.size() ? -1 : Math.max(0, back - fell);
    }

    /** Worth that capacity alone allows: each second the most worth for work first. */
    private static double capacityBound(Scenario scenario, LoadCurve curve) {
        double asked = 0;
        double earned = 0;
        List<double[]> kinds = scenario.kindsOfWork();
        kinds.sort((first, second) -> Double.compare(second[1] / second[2], first[1] / first[2]));
        for (long s = 0; s < curve.seconds(); s++) {
            double load = curve.at(s * 1_000_000);
            double left = 1;
            for (double[] kind : kinds) { // share of jobs, importance, work over the mean
                double work = load * kind[0] * kind[2];
                double did = Math.min(left, work);
                left -= did;
                asked += load * kind[0] * kind[1];
                earned += load * kind[0] * kind[1] * (work == 0 ? 1 : did / work);
            }
        }
        return earned / asked;
    }
}
