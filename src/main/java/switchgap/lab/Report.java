package switchgap.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import switchgap.day.Day;
import switchgap.level.Rung;
import switchgap.terms.Page;

/** An experiment as one page with its plots inside. */
final class Report {
    private Report() { }

    static void write(Path file, String name, Day day, Curve curve, List<Trial> all, PrintStream out) throws IOException {
        StringBuilder h = new StringBuilder("<!doctype html><meta charset=utf-8><title>" + name + "</title>"
            + "<style>body{font:15px sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
            + "td,th{padding:3px 10px;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}"
            + "img{max-width:100%}</style><h1>" + name + "</h1><p>" + day.workers() + " workers, " + day.routers()
            + " routers, " + curve.seconds() + " s of simulated time. Simulated servers: the figures compare variants and say "
            + "nothing of real machines. The same seed brings the same arrivals to each variant.</p><table><tr><th>variant"
            + "<th>seed<th>service<th>bound from capacity<th>changes a router<th>most at one router<th>back at full after");
        all.get(0).inTarget.keySet().forEach(w -> h.append("<th>").append(w).append(" in target"));
        for (Trial t : all) {
            h.append(String.format(Locale.ROOT, "<tr><td>%s<td>%d<td>%.3f<td>%.3f<td>%.1f<td>%.0f<td>%s", Experiment.word(t.variant), t.seed,
                t.service, t.bound, t.changes / (double) day.routers(), t.mostChangesAtOneRouter,
                t.variant == Emulator.Before.LEVELS ? t.backAfter < 0 ? "never" : t.backAfter + " s" : ""));
            t.inTarget.values().forEach(v -> h.append(String.format(Locale.ROOT, "<td>%.3f", v)));
        }
        h.append("</table>");
        long seed = all.get(0).seed;
        List<Trial> one = all.stream().filter(t -> t.seed == seed).toList();
        h.append(img(course(one))).append(img(levels(one))).append(img(bars("Start targets met, by workload", one, true)))
            .append(img(bars("Service by customer", one, false))).append(img(times(one)));
        Files.writeString(file, h);
        out.println("report: " + file);
    }

    private static String img(Chart<?, ?> c) throws IOException {
        c.getStyler().setChartTitleVisible(true);
        c.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        c.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        c.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(c, png, BitmapEncoder.BitmapFormat.PNG);
        return "<p><img src=\"data:image/png;base64," + Base64.getEncoder().encodeToString(png.toByteArray()) + "\">";
    }

    /** A column of the course, smoothed over ten seconds. */
    private static double[] column(Trial t, int column) {
        double[] v = new double[t.course.size()];
        for (int i = 0; i < v.length; i++) {
            double sum = 0;
            int n = 0;
            for (int k = Math.max(0, i - 5); k < Math.min(v.length, i + 5); k++, n++) { sum += t.course.get(k)[column]; }
            v[i] = sum / n;
        }
        return v;
    }

    private static double[] seconds(Trial t) {
        double[] s = new double[t.course.size()];
        for (int i = 0; i < s.length; i++) { s[i] = i; }
        return s;
    }

    private static XYChart lines(String title, String y) {
        XYChart c = new XYChartBuilder().width(1000).height(380).title(title).xAxisTitle("seconds").yAxisTitle(y).build();
        c.getStyler().setMarkerSize(0);
        return c;
    }

    private static void line(XYChart c, String name, double[] x, double[] y) {
        c.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    private static XYChart course(List<Trial> one) {
        XYChart c = lines("Load (share of capacity) and importance-weighted service", "load, service");
        line(c, "load", seconds(one.get(0)), column(one.get(0), 0));
        one.forEach(t -> line(c, "service, " + Experiment.word(t.variant), seconds(t), column(t, 1)));
        return c;
    }

    private static XYChart levels(List<Trial> one) {
        XYChart c = lines("Levels: mean of the routers (least 0 to 1, most 1 to 2, hold 2 to 3), and routers below full", "level");
        one.stream().filter(t -> t.variant == Emulator.Before.LEVELS).forEach(t -> {
            line(c, "mean level", seconds(t), column(t, 2));
            line(c, "share of routers below full", seconds(t), column(t, 3));
        });
        if (c.getSeriesMap().isEmpty()) { line(c, "no levels", new double[] {0, 1}, new double[] {0, 0}); }
        return c;
    }

    private static CategoryChart bars(String title, List<Trial> one, boolean workloads) {
        CategoryChart c = new CategoryChartBuilder().width(1000).height(380).title(title).build();
        c.getStyler().setYAxisMin(0.0);
        c.getStyler().setYAxisMax(1.0);
        one.forEach(t -> {
            var m = workloads ? t.inTarget : t.byCustomer;
            c.addSeries(Experiment.word(t.variant), List.copyOf(m.keySet()), List.copyOf(m.values()));
        });
        return c;
    }

    private static CategoryChart times(List<Trial> one) {
        CategoryChart c = new CategoryChartBuilder().width(1000).height(320).title("Seconds at each level, mean of the routers").build();
        one.stream().filter(t -> !t.timeAt.isEmpty()).forEach(t -> c.addSeries(Experiment.word(t.variant),
            t.timeAt.keySet().stream().filter(r -> r != Rung.SHARE).map(Page::word).toList(),
            t.timeAt.entrySet().stream().filter(e -> e.getKey() != Rung.SHARE).map(e -> e.getValue()).toList()));
        if (c.getSeriesMap().isEmpty()) { c.addSeries("no levels", List.of("full"), List.of(0)); }
        return c;
    }
}
