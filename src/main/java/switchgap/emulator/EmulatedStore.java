package switchgap.emulator;

import java.util.function.Consumer;

/**
 * The one store that all loads fetch from. A fetch alone takes its own time; beyond {@code takes} in hand all slow
 * down in proportion, beyond four times that it refuses, and pushed past three times for three seconds it stops.
 */
public final class EmulatedStore implements FunctionFetcher {
    private static final double REFUSES = 4;
    private static final double STOPS = 3;
    private static final long PUSHED = 3_000_000;
    private final Scheduler ticker;
    private final EventRecorder record;
    private final double takes;
    private final long down;
    private double slow = 1;
    private int inHand;
    private long pushedSince = -1;
    private long stoppedUntil;
    private long fetches;

    /** {@code down}: microseconds that it stops for when pushed over. */
    public EmulatedStore(Scheduler ticker, EventRecorder record, double takes, long down) {
        this.ticker = ticker;
        this.record = record;
        this.takes = takes;
        this.down = down;
    }

    public void slow(double times) { slow = times; }

    public long fetches() { return fetches; }

    @Override public void fetch(String worker, String function, long micros, Consumer<Boolean> then) {
        long now = ticker.now();
        fetches++;
        if (now < stoppedUntil || inHand >= REFUSES * takes) {
            record.line(now, "fetch-refused", "worker", worker, "function", function, "in_hand", inHand);
            ticker.after(2_000, () -> then.accept(false));
            return;
        }
        inHand++;
        if (inHand <= STOPS * takes) {
            pushedSince = -1;
        } else if (pushedSince < 0) {
            pushedSince = now;
        } else if (now - pushedSince > PUSHED) {
            stoppedUntil = now + down;
            pushedSince = -1;
            record.line(now, "store-stopped", "in_hand", inHand);
        }
        record.line(now, "fetch", "worker", worker, "function", function, "in_hand", inHand);
        ticker.after((long) (micros * slow * Math.max(1, inHand / takes)), () -> {
            inHand--;
            then.accept(ticker.now() >= stoppedUntil);
        });
    }
}
