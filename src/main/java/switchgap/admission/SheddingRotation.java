package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Whose turn it is to be pushed back. What may be pushed back lies on a ring of slots, each as wide as the importance
 * that came to it lately; an arc as wide as the depth goes round. So a client that comes back finds the same verdict
 * as before for most of the time, in place of passing at its second or third try, when its start target is over and
 * the work that it then causes is worth little. A slot that carries much is met by the arc's ends, a call at a time.
 */
final class SheddingRotation {
    private static final int SLOTS = 64;
    private final double[] came = new double[SLOTS];
    private final double[] starts = new double[SLOTS];
    private final double[] widths = new double[SLOTS];
    private final int[] order = new int[SLOTS];
    private final long salt;
    private final double round; // seconds for the arc to go round
    private double begin;

    SheddingRotation(Duration round, SplittableRandom chance) {
        this.round = round.toNanos() / 1e9;
        this.salt = chance.nextLong();
        this.begin = chance.nextDouble();
        for (int i = 0; i < SLOTS; i++) { // a shuffled ring: neighbours differ from router to router
            int j = chance.nextInt(i + 1);
            order[i] = order[j];
            order[j] = i;
        }
        lay();
    }

    /** Whether a call of a customer that asks for {@code key} lies in an arc of the given width; {@code u} within its slot. */
    boolean meets(int customer, long key, double worth, double width, double u) {
        int s = slot(customer, key);
        came[s] += worth;
        if (width <= 0) { return false; }
        double at = starts[s] + u * widths[s];
        double from = at - begin;
        return from - Math.floor(from) < width;
    }

    private int slot(int customer, long key) {
        long h = (key * 31 + customer + salt) * 0x9E3779B97F4A7C15L;
        h ^= h >>> 29;
        return (int) ((h * 0xBF58476D1CE4E5B9L) >>> 58);
    }

    /** The arc goes on; the slots are laid out anew by what came, which fades by {@code keep}. */
    void step(double seconds, double keep) {
        begin += seconds / round;
        begin -= Math.floor(begin);
        for (int s = 0; s < SLOTS; s++) { came[s] *= keep; }
        lay();
    }

    private void lay() {
        double all = 0;
        for (double c : came) { all += c + 1e-3; }
        double sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            int s = order[i];
            starts[s] = sum;
            widths[s] = (came[s] + 1e-3) / all;
            sum += widths[s];
        }
    }
}
