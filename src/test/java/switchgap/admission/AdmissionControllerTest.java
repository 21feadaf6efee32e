package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.Idempotency;

/** Levels under loads that a test makes: a fleet that crowds what passes beyond its capacity. Traces are read by people. */
class AdmissionControllerTest {
    private static final Duration[] TARGETS = {Duration.ofMillis(400), Duration.ofMillis(800)};
    private final SplittableRandom chance = new SplittableRandom(3);
    private double second;
    private double passedNow;

    private static AdmissionSettings terms(double least, double best, int customers) {
        double[] share = new double[customers];
        java.util.Arrays.fill(share, 1.0 / customers);
        return new AdmissionSettings(new double[] {least, best},
            new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT}, TARGETS, share,
            new boolean[2], ServiceLevel.HOLD, Duration.ofSeconds(1), 0);
    }

    private static Duration at(double seconds) { return Duration.ofNanos((long) (seconds * 1e9)); }

    /** So many seconds of calls; what passes beyond the capacity (calls a second) is crowded out. Returns what was cut. */
    private int[] load(AdmissionController l, double seconds, double rate, double capacity, double busy,
        double... weights) {
        int[] cut = new int[Math.max(1, weights.length)];
        for (double end = second + seconds; second < end; second += 1 / rate) {
            int c = 0;
            double u = chance.nextDouble() * java.util.Arrays.stream(weights).sum();
            while (c < weights.length - 1 && u >= weights[c]) { u -= weights[c++]; }
            int w = chance.nextDouble() < 0.7 ? 0 : 1;
            passedNow *= Math.exp(-1 / rate / 0.5);
            if (l.decide(at(second), weights.length == 0 ? -1 : c, w, chance.nextInt(40)).admitted()) {
                passedNow += 1 / 0.5;
                l.workerReported(busy);
                boolean crowded = chance.nextDouble() < 1 - capacity / passedNow;
                l.requestEnded(at(second), w, crowded ? RequestOutcome.SATURATED : RequestOutcome.IN_TIME);
            } else {
                cut[c]++;
            }
        }
        return cut;
    }

    private static String trace(AdmissionController l) {
        StringBuilder s = new StringBuilder();
        l.changes().forEach(
            c -> s.append(String.format(Locale.ROOT, "%6.1f %s %s to %s: %s%n", c.at().toMillis() / 1000.0,
                c.tenant() < 0 ? "all" : "customer " + c.tenant(), c.from(), c.to(), c.condition())));
        return s.toString();
    }

    private static void same(String name, AdmissionController l) throws IOException {
        try (InputStream in = AdmissionControllerTest.class.getResourceAsStream(name + ".txt")) {
            assertThat(trace(l)).isEqualTo(
                in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    @Test void anOverloadIsMetAndServiceComesBackInARamp() throws IOException {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        load(l, 30, 50, 60, 0.6, 1, 1);
        load(l, 60, 120, 60, 0.97, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
        assertThat(l.rejections(ServiceLevel.LEAST, 1)).isZero(); // the most important is never touched there
        assertThat(l.rejections(ServiceLevel.LEAST, 0)).isPositive();
        double deep = l.shedFraction();
        load(l, 3, 40, 60, 0.5, 1, 1);
        assertThat(l.shedFraction()).isBetween(0.3 * deep, 0.999 * deep); // a ramp, not a jump
        load(l, 60, 40, 60, 0.5, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL);
        same("overload", l);
    }

    @Test void loadThatHoversAtTheMarkDoesNotSwing() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        for (int i = 0; i < 60; i++) {
            load(l, 10, 60 * 1.17 * (0.95 + 0.1 * chance.nextDouble()), 60, 0.95, 1, 1);
        }
        assertThat(l.changes().size()).isLessThanOrEqualTo(600 / (4 * 8)); // one change in four shortest stays
    }

    @Test void crowdsAtOneCopyWhileWorkersIdleAreNotALevelsMatter() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        load(l, 60, 80, 60, 0.5, 1, 1);
        assertThat(l.changes()).isEmpty();
    }

    @Test void aHammeringCustomerMeetsItsOwnLevelOnly() throws IOException {
        AdmissionController l = new AdmissionController(terms(1, 2, 5), 1);
        load(l, 20, 50, 100, 0.7, 1, 1, 1, 1, 1);
        int[] cut = load(l, 60, 130, 100, 0.95, 9, 1, 1, 1, 1);
        assertThat(cut[0]).isGreaterThan(500);
        assertThat(cut[1] + cut[2] + cut[3] + cut[4]).isZero();
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL);
        load(l, 60, 50, 100, 0.7, 1, 1, 1, 1, 1);
        assertThat(l.level(0)).isEqualTo(ServiceLevel.FULL);
        same("hammering", l);
    }

    @Test void twoHammeringCustomersReduceNoThird() {
        AdmissionController l = new AdmissionController(terms(1, 2, 5), 1);
        load(l, 20, 50, 100, 0.7, 1, 1, 1, 1, 1);
        int[] cut = load(l, 60, 150, 110, 0.95, 6, 6, 1, 1, 1);
        assertThat(cut[2] + cut[3] + cut[4]).isZero();
        assertThat(cut[0]).isPositive();
        assertThat(cut[1]).isPositive();
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL);
    }

    /** A fleet at half of its cores where a tenth of all is late: with nothing to keep no level acts, with a share to keep one does. */
    @Test void aShareOfStartTargetsToKeepIsPaidForByLesserWork() {
        int[] pushed = new int[2];
        for (int keep = 0; keep < 2; keep++) {
            AdmissionSettings t = new AdmissionSettings(new double[] {1, 2},
                new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT}, TARGETS,
                new double[] {1}, new boolean[2], ServiceLevel.LEAST, null, keep * 0.97);
            AdmissionController l = new AdmissionController(t, 1);
            for (int i = 0; i < 3000; i++) {
                l.workerReported(0.6);
                int w = i % 3 == 0 ? 1 : 0;
                if (!l.decide(at(i / 50.0), 0, w, i % 17).admitted()) {
                    pushed[keep]++;
                    continue;
                }
                l.requestEnded(at(i / 50.0), w, i % 10 == 0 ? RequestOutcome.LATE : RequestOutcome.IN_TIME);
            }
        }
        assertThat(pushed[0]).isZero();
        assertThat(pushed[1]).isPositive();
    }

    // Guards against a rung that comes and goes with each wave: it is left, and taken again, only after four stays.
    @Test void aRungThatWasLeftComesBackOnlyAfterFourStaysOfMildPressure() {
        DegradationController l = new DegradationController(Duration.ofSeconds(8), new SplittableRandom(1),
            ServiceLevel.FULL, ServiceLevel.LEAST);
        double s = 0;
        for (; l.rung() == ServiceLevel.FULL; s += 0.1) {
            l.step(at(s), 0.1, 0.05, true, false, ServiceLevel.HOLD);
        }
        double entered = s;
        for (; l.rung() == ServiceLevel.LEAST; s += 0.1) {
            l.step(at(s), 0.1, -0.05, true, false, ServiceLevel.HOLD);
        }
        assertThat(s - entered).isBetween(31.9, 40.0);
        double out = s;
        for (; l.rung() == ServiceLevel.FULL; s += 0.1) {
            l.step(at(s), 0.1, 0.05, true, false, ServiceLevel.HOLD);
        }
        assertThat(s - out).isBetween(31.9, 45.0);
        for (; l.rung() == ServiceLevel.LEAST; s += 0.1) {
            l.step(at(s), 0.1, -0.05, true, false, ServiceLevel.HOLD);
        }
        out = s;
        for (; l.rung() == ServiceLevel.FULL; s += 0.1) {
            l.step(at(s), 0.1, 0.05, true, true, ServiceLevel.HOLD);
        }
        assertThat(s - out).isLessThan(10); // hard pressure does not wait
    }

    @Test void oneCustomerAloneIsNeverOverItsShare() {
        AdmissionController l = new AdmissionController(terms(1, 2, 1), 1);
        load(l, 40, 120, 60, 0.97, 1);
        assertThat(l.level(0)).isEqualTo(ServiceLevel.FULL);
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
    }

    @Test void aRouterWithTwoCallsASecondNeitherJumpsOnOneSampleNorSticks() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        l.decide(at(1), 0, 1, 0);
        l.workerReported(1);
        l.requestEnded(at(1.1), 1, RequestOutcome.SATURATED);
        load(l, 1, 2, 0.001, 1, 1, 1);
        assertThat(l.changes()).isEmpty();
        second = 2;
        load(l, 40, 2, 0.8, 1, 1, 1);
        assertThat(l.level()).isNotEqualTo(ServiceLevel.FULL);
        load(l, 300, 2, 100, 0.5, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL);
    }

    @Test void aRouterRestartedInOverloadFindsItsLevelByItself() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 9);
        load(l, 15, 120, 60, 0.97, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
    }

    @Test void equalImportanceLeavesNoLesserWork() {
        AdmissionController l = new AdmissionController(terms(1, 1, 2), 1);
        load(l, 40, 90, 60, 0.97, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL); // a third too much is the module's to push back
        load(l, 60, 300, 60, 0.99, 1, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.HOLD);
    }

    @Test void nothingRestartableMeansTheNextRung() {
        AdmissionSettings t = new AdmissionSettings(new double[] {1, 2},
            new Idempotency[] {Idempotency.NON_IDEMPOTENT, Idempotency.NON_IDEMPOTENT}, TARGETS,
            new double[] {1}, new boolean[2], ServiceLevel.MOST, null, 0);
        AdmissionController l = new AdmissionController(t, 1);
        load(l, 40, 150, 60, 0.97, 1);
        assertThat(l.level()).isEqualTo(ServiceLevel.MOST);
        assertThat(l.rejections(ServiceLevel.MOST, 0)).isPositive();
        assertThat(l.rejections(ServiceLevel.MOST, 1)).isZero();
    }

    @Test void aSparedWorkloadIsNeverTouchedAndACeilingHolds() {
        AdmissionSettings t = new AdmissionSettings(new double[] {1, 2},
            new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT}, TARGETS,
            new double[] {1}, new boolean[] {true, false}, ServiceLevel.LEAST, null, 0);
        AdmissionController l = new AdmissionController(t, 1);
        load(l, 60, 300, 60, 0.99, 1);
        for (ServiceLevel r : ServiceLevel.values()) { assertThat(l.rejections(r, 0)).isZero(); }
        assertThat(l.level()).isEqualTo(ServiceLevel.FULL); // nothing left to touch under this ceiling
    }

    @Test void aPinHoldsAndItsEndInOverloadGoesOnFromWhatIsMeasured() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        l.pin(at(0), ServiceLevel.HOLD, at(20));
        int[] cut = load(l, 19, 100, 60, 0.97, 1, 1);
        assertThat(cut[0] + cut[1]).isGreaterThan(1800); // all of it
        l.pin(at(second), ServiceLevel.FULL, at(40));
        assertThat(l.decide(at(second), 0, 0, 0).admitted()).isTrue();
        load(l, 22, 120, 60, 0.97, 1, 1);
        load(l, 10, 120, 60, 0.97, 1, 1);
        assertThat(l.isPinned()).isFalse();
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
    }

    @Test void aClockThatStepsMovesNothingAtOnce() {
        AdmissionController l = new AdmissionController(terms(1, 2, 2), 1);
        load(l, 40, 120, 60, 0.97, 1, 1);
        double deep = l.shedFraction();
        second += 7;
        l.tick(at(second));
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
        assertThat(l.shedFraction()).isBetween(deep - 0.2, deep + 0.2);
        l.tick(at(second - 3)); // back: nothing
        assertThat(l.level()).isEqualTo(ServiceLevel.LEAST);
    }

    @Test void routersDoNotChangeInStep() {
        TreeSet<Long> times = new TreeSet<>();
        TreeSet<Long> backs = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            second = 0;
            AdmissionController l = new AdmissionController(terms(1, 2, 2), i);
            load(l, 30, 3, 1, 1, 1, 1);
            if (!l.changes().isEmpty()) { times.add(l.changes().get(0).at().toMillis() / 500); }
            backs.add(l.decide(at(second), 0, 0, 0).retryAfter() == null ? 0 : 1L);
        }
        assertThat(times.size()).as("%s", times).isGreaterThan(5);
    }

    /** Days of pins and loads: what is remembered is bounded, whether anybody asks for it or not. */
    @Test void changesAndTalliesAreBoundedOverDays() {
        AdmissionController l = new AdmissionController(terms(1, 2, 3), 1);
        for (int day = 0; day < 2; day++) {
            for (int i = 0; i < 20_000; i++) {
                Duration t = at(day * 200_000 + i * 10);
                l.decide(t, i % 3, i % 2, i);
                l.requestEnded(t, i % 2, RequestOutcome.SATURATED);
                if (i % 10 == 0) { l.pin(t, ServiceLevel.LEAST, t.plusSeconds(5)); }
            }
        }
        assertThat(l.changes()).hasSize(64);
        assertThat(switchgap.testing.ReachableObjects.by(l)).isLessThan(2000);
        assertThat(l.drainChanges().size()).isLessThanOrEqualTo(64);
        assertThat(l.pressure()).isBetween(0.0, 1.0);
    }
}
