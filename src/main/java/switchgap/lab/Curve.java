package switchgap.lab;

import java.util.ArrayList;
import java.util.List;
import switchgap.terms.Page;

/** A load over time: straight lines between points of time (microseconds) and load (share of capacity). */
final class Curve {
    private final List<double[]> points = new ArrayList<>();

    /** Reads points {@code {at: SPAN, load: SHARE}} in order of time. */
    Curve(Page under, String key) {
        for (Page p : under.parts(key)) {
            double at = p.span("at").toNanos() / 1000.0;
            if (!points.isEmpty() && at < points.get(points.size() - 1)[0]) { throw p.wrong("at", "must not go back in time"); }
            points.add(new double[] {at, p.number("load", 0, 100)});
            p.done();
        }
        if (points.size() < 2) { throw under.wrong(key, "needs two points or more"); }
    }

    private Curve() { }

    /** The same curve over a share of the time. */
    Curve within(double share) {
        Curve c = new Curve();
        points.forEach(p -> c.points.add(new double[] {p[0] * share, p[1]}));
        return c;
    }

    long seconds() { return (long) (points.get(points.size() - 1)[0] / 1e6); }

    double at(long micros) {
        double[] before = points.get(0);
        for (double[] p : points) {
            if (p[0] >= micros) {
                double span = p[0] - before[0];
                return span <= 0 ? p[1] : before[1] + (p[1] - before[1]) * (micros - before[0]) / span;
            }
            before = p;
        }
        return before[1];
    }
}
