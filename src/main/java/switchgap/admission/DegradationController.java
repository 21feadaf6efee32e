package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * One ladder: where it stands, and how deep. The depth is the share pushed back of what the rung may push back; it
 * follows the pressure at a bounded slope, so that service is given up and taken back in a ramp. A rung is left only
 * when its depth has come to an end and has stayed there.
 */
final class DegradationController {
    /** Rung changes wait: for more of the same pressure, and for its being over. */
    private static final double SLOWER_BACK = 1.5; // times: taking service back against giving it up
    private static final int STAYS = 4;           // on a rung before it is left, and after it was left before mild pressure brings it back
    private static final double FASTEST = 0.1;   // of the depth a second
    private final ServiceLevel[] rungs;
    private final Duration stay;
    private final SplittableRandom chance;
    private double draw; // drawn anew at each change: many routers must not change in step
    private int at;
    private double depth;
    private Duration since = Duration.ZERO;
    private boolean left;        // a rung was left before: the first entry need not wait
    private Duration endSince;   // the depth is at an end that asks for another rung since then
    private ServiceLevel pinned;
    private Duration pinnedUntil;

    /** The rungs it may stand on, from FULL down; the shortest stay on one. */
    DegradationController(Duration stay, SplittableRandom chance, ServiceLevel... rungs) {
        this.rungs = rungs;
        this.stay = stay;
        this.chance = chance;
        this.draw = 0.5 + 2 * chance.nextDouble();
    }

    ServiceLevel rung() { return pinned != null ? pinned : rungs[at]; }

    /** The share pushed back of what the rung may push back; a pinned rung pushes back all of it. */
    double depth() {
        return pinned != null ? 1 : depth;
    }

    boolean pinned() { return pinned != null; }

    void pin(ServiceLevel r, Duration until) {
        pinned = r;
        pinnedUntil = until;
    }

    /** Ends a pin whose time is over; true when it did. What the ladder learned meanwhile goes on. */
    boolean expire(Duration now) {
        if (pinned == null || now.compareTo(pinnedUntil) < 0) { return false; }
        pinned = null;
        since = now;
        endSince = null;
        return true;
    }

    /**
     * A step of {@code dt} seconds. {@code error} above 0 asks for less service, in depth a second; known: whether there is
     * evidence enough to give up more;
     * hard: the pressure is far past the marks. Returns the condition of a change of rung, or null.
     */
    String step(Duration now, double dt, double error, boolean known, boolean hard, ServiceLevel ceiling) {
        double slope = Math.max(-FASTEST / SLOWER_BACK, Math.min(FASTEST, error));
        if (slope > 0 && !known) { slope = 0; }
        if (at == 0) {
            boolean again = hard || !left || now.minus(since).compareTo(stay.multipliedBy(STAYS)) >= 0;
            return up(now, slope > 0 && again, ceiling, "pressure past the enter mark");
        }
        depth = Math.max(0, Math.min(1, depth + slope * dt));
        if (depth >= 1 && slope > 0) {
            return up(now, true, ceiling, "the rung gives all it has and pressure stays");
        }
        if (depth <= 0 && slope <= 0) {
            if (endSince == null) { endSince = now; }
            if (now.minus(endSince).compareTo(spread(0.5)) >= 0
                && now.minus(since).compareTo(stay.multipliedBy(STAYS)) >= 0) {
                at--; // until then it stays at depth 0, which pushes nothing back
                left = true;
                depth = at == 0 ? 0 : 1; // the rung above begins where it was left, and is given back in its turn
                settle(now);
                return "pressure under the leave mark";
            }
            return null;
        }
        endSince = null;
        return null;
    }

    private String up(Duration now, boolean wants, ServiceLevel ceiling, String why) {
        if (!wants || at + 1 >= rungs.length || rungs[at + 1].compareTo(ceiling) > 0) {
            endSince = null;
            return null;
        }
        if (endSince == null) { endSince = now; }
        Duration wait = at == 0 ? spread(0.35) : stay; // the first rung is reversible and cheap
        if (now.minus(endSince).compareTo(wait) < 0 || at > 0 && now.minus(since).compareTo(stay) < 0) {
            return null;
        }
        at++;
        depth = 0;
        settle(now);
        return why;
    }

    private Duration spread(double share) {
        return Duration.ofNanos((long) (stay.toNanos() * share * draw));
    }

    private void settle(Duration now) {
        draw = 0.5 + 2 * chance.nextDouble();
        since = now;
        endSince = null;
    }
}
