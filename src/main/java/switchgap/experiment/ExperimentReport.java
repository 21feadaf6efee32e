package switchgap.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
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
import switchgap.admission.ServiceLevel;
import switchgap.config.YamlDocument;

/** An experiment as one page with its plots inside. */
final class ExperimentReport {
    private ExperimentReport() {}

    static void write(Path file, Experiment x) throws IOException {
        StringBuilder h = new StringBuilder("<!doctype html><meta charset=utf-8><title>" + x.name + "</title>"
            + "<style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
            + "td,th{padding:3px 8px;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}"
            + "img{max-width:100%}</style><h1>" + x.name
            + "</h1><p>Simulated servers: the figures compare variants and say "
            + "nothing of real machines. The same seed brings the same arrivals to each variant; differences are taken seed by seed, "
            + "with the standard deviation over " + x.seeds
            + " seeds. Service is weighted by importance.</p>");
        for (Experiment.Case c : x.cases) { section(h, x, c); }
        Files.writeString(file, h);
    }

    private static void section(StringBuilder h, Experiment x, Experiment.Case c) throws IOException {
        h.append(String.format(Locale.ROOT,
            "<h2>%s</h2><p>%d workers, %d routers, %d s of simulated time; bound from capacity %.3f.</p>"
                + "<table><tr><th>variant<th>service<th>to %s",
            c.name(), c.day().workers(), c.day().routers(), c.curve().seconds(),
            c.trials().get(0).bound, x.variants.get(0).name()));
        c.trials().get(0).inTarget.keySet().forEach(w -> h.append("<th>").append(w).append(" in target"));
        h.append(
            "<th>changes a router<th>most in four stays<th>back at full after<th>customers' own changes");
        for (Variant v : x.variants) {
            var service = c.spread(v, t -> t.service);
            var paired = c.against(v, x.variants.get(0), t -> t.service);
            h.append(String.format(Locale.ROOT, "<tr><td>%s<td>%.3f ± %.3f<td>%+.3f ± %.3f", v.name(),
                service.mean(),
                service.deviation(), paired.mean(), paired.deviation()));
            for (String w : c.trials().get(0).inTarget.keySet()) {
                h.append(String.format(Locale.ROOT, "<td>%.3f", c.spread(v, t -> t.inTarget.get(w)).mean()));
            }
            long back = c.of(v).stream().mapToLong(t -> t.backAfter).max().orElse(-1);
            boolean levels = v.before() == Variant.Before.LEVELS;
            h.append(String.format(Locale.ROOT, "<td>%.1f<td>%d<td>%s<td>%s",
                c.spread(v, t -> t.changes / (double) c.day().routers()).mean(),
                c.of(v).stream().mapToInt(t -> t.mostInFourStays).max().orElse(0),
                !levels ? "" : back < 0 ? "not within it" : back + " s",
                !levels ? "" : c.of(v).stream().map(t -> t.own.toString()).distinct().reduce(
                    (a, b) -> a + " " + b).orElse("")));
        }
        h.append("</table>");
        long seed = c.trials().get(0).seed;
        List<Trial> one = c.trials().stream().filter(t -> t.seed == seed).toList();
        h.append(img(course(one))).append(img(levels(one))).append(
            img(bars("Start targets met, by workload", one, true))).append(
                img(bars("Service by customer", one, false))).append(img(times(one)));
    }

    private static String img(Chart<?, ?> c) throws IOException {
        c.getStyler().setChartTitleVisible(true);
        c.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        c.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        c.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(c, png, BitmapEncoder.BitmapFormat.PNG);
        return "<p><img src=\"data:image/png;base64," + Base64.getEncoder().encodeToString(png.toByteArray())
            + "\">";
    }

    /** A column of the course, smoothed over ten seconds. */
    private static double[] column(Trial t, int column) {
        double[] v = new double[t.course.size()];
        for (int i = 0; i < v.length; i++) {
            double sum = 0;
            int n = 0;
            for (int k = Math.max(0, i - 5); k < Math.min(v.length, i + 5); k++, n++) {
                sum += t.course.get(k)[column];
            }
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
        XYChart c = new XYChartBuilder().width(1000).height(380).title(title).xAxisTitle(
            "seconds").yAxisTitle(y).build();
        c.getStyler().setMarkerSize(0);
        return c;
    }

    private static void line(XYChart c, String name, double[] x, double[] y) {
        c.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    private static XYChart course(List<Trial> one) {
        XYChart c = lines("Load (share of capacity) and importance-weighted service", "load, service");
        line(c, "load", seconds(one.get(0)), column(one.get(0), 0));
        one.forEach(t -> line(c, "service, " + t.variant.name(), seconds(t), column(t, 1)));
        return c;
    }

    private static XYChart levels(List<Trial> one) {
        XYChart c = lines(
            "Levels: mean of the routers (least 0 to 1, most 1 to 2, hold 2 to 3), and routers below full",
            "level");
        one.stream().filter(
            t -> t.variant.before() == Variant.Before.LEVELS && t.variant.pinned() == null).forEach(t -> {
                line(c, "mean level, " + t.variant.name(), seconds(t), column(t, 2));
                line(c, "routers below full, " + t.variant.name(), seconds(t), column(t, 3));
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
            c.addSeries(t.variant.name(), List.copyOf(m.keySet()), List.copyOf(m.values()));
        });
        return c;
    }

    private static CategoryChart times(List<Trial> one) {
        CategoryChart c = new CategoryChartBuilder().width(1000).height(320).title(
            "Seconds at each level, mean of the routers").build();
        one.stream().filter(t -> !t.timeAt.isEmpty()).forEach(t -> c.addSeries(t.variant.name(),
            t.timeAt.keySet().stream().filter(r -> r != ServiceLevel.SHARE).map(YamlDocument::word).toList(),
            t.timeAt.entrySet().stream().filter(e -> e.getKey() != ServiceLevel.SHARE).map(
                e -> e.getValue()).toList()));
        if (c.getSeriesMap().isEmpty()) { c.addSeries("no levels", List.of("full"), List.of(0)); }
        return c;
    }
}
