package switchgap.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** All functions of a day, by workload, with their popularity; hot and one-off ones come when asked for. */
public final class FunctionCatalogue {
    /** What a workload's functions are like, on average; spans in microseconds, memory in MB. */
    public record FunctionGroup(String workload, double share, double memory, int lanes, long load,
        double work, double io,
        double spread, long knownFor) {}

    private final List<FunctionGroup> likes;
    private final List<List<FunctionModel>> popular = new ArrayList<>();
    private final Map<String, FunctionModel> all = new HashMap<>();
    private final double[] zipf;
    private final SplittableRandom chance;
    private int hot;
    private double hotShare;
    private double onceShare;
    private int once;

    public FunctionCatalogue(List<FunctionGroup> likes, int functions, double zipf, long seed) {
        this.likes = likes;
        this.chance = new SplittableRandom(seed);
        this.zipf = new double[functions];
        double sum = 0;
        for (int i = 0; i < functions; i++) {
            sum += 1 / Math.pow(i + 1.5, zipf);
            this.zipf[i] = sum;
        }
        for (int w = 0; w < likes.size(); w++) {
            List<FunctionModel> of = new ArrayList<>();
            for (int i = 0; i < functions; i++) { of.add(make(likes.get(w).workload() + "-" + i, w)); }
            popular.add(of);
        }
    }

    private FunctionModel make(String name, int w) {
        FunctionGroup l = likes.get(w);
        double size = Math.exp(0.4 * gauss() - 0.08);
        double slow = Math.exp(0.35 * gauss() - 0.06);
        FunctionModel m = new FunctionModel(name, w, l.memory() * size, l.lanes(), (long) (l.load() * size),
            l.work() * slow, l.io(),
            l.spread(), l.knownFor());
        all.put(name, m);
        return m;
    }

    private double gauss() {
        return Math.sqrt(-2 * Math.log(1 - chance.nextDouble()))
            * Math.cos(2 * Math.PI * chance.nextDouble());
    }

    public List<FunctionGroup> likes() { return likes; }

    public synchronized FunctionModel find(String name) { return all.get(name); }

    public synchronized List<FunctionModel> known() { return new ArrayList<>(all.values()); }

    /** What a fleet held lately: each function at one machine, while there is room. */
    public void seed(List<EmulatedWorker> fleet) {
        for (FunctionModel m : known()) {
            fleet.get(Math.floorMod(m.name().hashCode() * 31, fleet.size())).seed(m);
        }
    }

    /** So many functions of each workload that were not seen before draw this share of all jobs; 0 ends it. */
    public synchronized void hot(double share, int functions) {
        hotShare = share;
        hot++;
        for (int w = 0; share > 0 && w < likes.size(); w++) {
            for (int i = 0; i < functions; i++) {
                make("hot-" + likes.get(w).workload() + "-" + hot + "-" + i, w);
            }
        }
        hotMany = functions;
    }

    private int hotMany = 1;

    /** A share of the jobs is for functions asked for once only. */
    public synchronized void once(double share) {
        onceShare = share;
    }

    /** The function of the next job. */
    public synchronized FunctionModel draw(SplittableRandom r) {
        double u = r.nextDouble();
        int w = 0;
        while (w < likes.size() - 1 && u >= likes.get(w).share()) { u -= likes.get(w++).share(); }
        double kind = r.nextDouble();
        double place = r.nextDouble();
        if (kind < hotShare) {
            return all.get("hot-" + likes.get(w).workload() + "-" + hot + "-" + (int) (place * hotMany));
        }
        if (kind < hotShare + onceShare) { return make("once-" + likes.get(w).workload() + "-" + once++, w); }
        double at = place * zipf[zipf.length - 1];
        int i = java.util.Arrays.binarySearch(zipf, at);
        return popular.get(w).get(Math.min(zipf.length - 1, i < 0 ? -i - 1 : i));
    }
}
