package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Turns of being pushed back: the share is that of the depth, and a client that comes back meets the same verdict. */
class SheddingRotationTest {
    private final SplittableRandom chance = new SplittableRandom(7);
    private final SheddingRotation turns = new SheddingRotation(Duration.ofSeconds(60),
        new SplittableRandom(3));

    private void load(int seconds, int keys) {
        for (int s = 0; s < seconds; s++) {
            for (int i = 0; i < 50; i++) {
                turns.meets(i % 5, chance.nextInt(keys), 1, 0, chance.nextDouble());
            }
            turns.step(1, 0.9);
        }
    }

    private double share(int calls, int keys, double width) {
        int met = 0;
        for (int i = 0; i < calls; i++) {
            met += turns.meets(i % 5, chance.nextInt(keys), 1, width, chance.nextDouble()) ? 1 : 0;
        }
        return met / (double) calls;
    }

    @Test void theShareThatIsPushedBackIsTheDepth() {
        load(30, 20);
        assertThat(share(20_000, 20, 0)).isZero();
        assertThat(share(20_000, 20, 0.3)).isBetween(0.22, 0.38);
        assertThat(share(20_000, 20, 0.8)).isBetween(0.72, 0.88);
        assertThat(share(1000, 20, 1)).isEqualTo(1);
    }

    // Guards against late second tries: with a draw for each call a third try passed nearly always, and was worth little.
    @Test void aClientThatComesBackMeetsTheSameVerdict() {
        load(30, 20);
        int same = 0;
        for (int key = 0; key < 1000; key++) {
            boolean first = turns.meets(1, key, 1e-9, 0.5, 0.5);
            same += first == turns.meets(1, key, 1e-9, 0.5, 0.5) ? 1 : 0;
        }
        assertThat(same).isEqualTo(1000);
    }

    @Test void eachHasItsTurnAndNobodyIsOutForever() {
        load(30, 20);
        for (int key = 0; key < 20; key++) {
            int out = 0;
            for (int s = 0; s < 60; s++) {
                out += turns.meets(0, key, 1, 0.4, 0.5) ? 1 : 0;
                turns.step(1, 1);
            }
            assertThat(out).isBetween(18, 30);
        }
    }

    // All load on one slot: an arc that only knew whole slots would push back all of it or nothing.
    @Test void oneFunctionOfOneCustomerIsPushedBackInPart() {
        for (int s = 0; s < 60; s++) {
            for (int i = 0; i < 50; i++) { turns.meets(0, 1, 1, 0, 0.5); }
            turns.step(1, 0.9);
        }
        int met = 0;
        for (int i = 0; i < 5000; i++) { met += turns.meets(0, 1, 1, 0.3, chance.nextDouble()) ? 1 : 0; }
        assertThat(met / 5000.0).isBetween(0.25, 0.35);
    }
}
