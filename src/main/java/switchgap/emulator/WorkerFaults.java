package switchgap.emulator;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/** What a model server does wrong just now, each with the share of requests that it hits. */
public final class WorkerFaults {
    /** Each is one way to fail on the socket; the page docs/router.md tells them apart. */
    public enum Kind {
        ERROR, LOST, RESET, HALF, LATE, TWICE, OVERSIZED, CLOSED_AT_REQUEST, SLOW_CONNECT
    }

    private final SplittableRandom chance;
    private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);

    public WorkerFaults(long seed) {
        chance = new SplittableRandom(seed);
    }

    public synchronized void set(Kind k, double share) {
        if (share <= 0) {
            shares.remove(k);
        } else {
            shares.put(k, share);
        }
    }

    /** Whether this fault hits now; one draw a question, whether it is set or not. */
    public synchronized boolean hits(Kind k) {
        return chance.nextDouble() < shares.getOrDefault(k, 0.0);
    }
}
