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

    static void write(Path file, Experiment experiment) throws IOException {
        StringBuilder html = new StringBuilder("<!doctype html><meta charset=utf-8><title>" + experiment.name
            + "</title>"
            + "<style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
            + "td,th{padding:3px 8px;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}"
            + "img{max-width:100%}</style><h1>" + experiment.name
            + "</h1><p>Simulated servers: the figures compare variants and say "
            + "nothing of real machines. The same seed brings the same arrivals to each variant; differences are taken seed by seed, "
            + "with the standard deviation over " + experiment.seeds
            + " seeds. Service is weighted by importance.</p>");
        for (Experiment.Case experimentCase : experiment.cases) { section(html, experiment, experimentCase); }
        Files.writeString(file, html);
    }

    private static void section(StringBuilder html, Experiment experiment, Experiment.Case experimentCase)
        throws IOException {
        html.append(String.format(Locale.ROOT,
            "<h2>%s</h2><p>%d workers, %d routers, %d s of simulated time; bound from capacity %.3f.</p>"
                + "<table><tr><th>variant<th>service<th>to %s",
            experimentCase.name(), experimentCase.scenario().workers(), experimentCase.scenario().routers(),
            experimentCase.curve().seconds(),
            experimentCase.trials().get(0).bound, experiment.variants.get(0).name()));
        experimentCase.trials().get(0).objectiveMetShare.keySet().forEach(
            requestClass -> html.append("<th>").append(requestClass).append(" in target"));
        html.append(
            "<th>changes a router<th>most in four stays<th>back at full after<th>customers' own changes");
        for (Variant variant : experiment.variants) {
            var service = experimentCase.spread(variant, trial -> trial.service);
            var paired = experimentCase.against(variant, experiment.variants.get(0), trial -> trial.service);
            html.append(
                String.format(Locale.ROOT, "<tr><td>%s<td>%.3f ± %.3f<td>%+.3f ± %.3f", variant.name(),
                    service.mean(),
                    service.deviation(), paired.mean(), paired.deviation()));
            for (String requestClass : experimentCase.trials().get(0).objectiveMetShare.keySet()) {
                html.append(String.format(Locale.ROOT, "<td>%.3f", experimentCase.spread(variant,
                    trial -> trial.objectiveMetShare.get(requestClass)).mean()));
            }
            long back = experimentCase.of(variant).stream().mapToLong(
                trial -> trial.recoverySeconds).max().orElse(-1);
            boolean levels = variant.before() == Variant.Before.LEVELS;
            html.append(String.format(Locale.ROOT, "<td>%.1f<td>%d<td>%s<td>%s",
                experimentCase.spread(variant,
                    trial -> trial.changeCount / (double) experimentCase.scenario().routers()).mean(),
                experimentCase.of(variant).stream().mapToInt(
                    trial -> trial.maxChangesInFourStays).max().orElse(0),
                !levels ? "" : back < 0 ? "not within it" : back + " s",
                !levels ? ""
                    : experimentCase.of(variant).stream().map(
                        trial -> trial.tenantLevelChanges.toString()).distinct().reduce(
                            (left, right) -> left + " " + right).orElse("")));
        }
        html.append("</table>");
        long seed = experimentCase.trials().get(0).seed;
        List<Trial> one = experimentCase.trials().stream().filter(trial -> trial.seed == seed).toList();
        html.append(img(course(one))).append(img(levels(one))).append(
            img(bars("Start targets met, by workload", one, true))).append(
                img(bars("Service by customer", one, false))).append(img(times(one)));
    }

    private static String img(Chart<?, ?> chart) throws IOException {
        chart.getStyler().setChartTitleVisible(true);
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, png, BitmapEncoder.BitmapFormat.PNG);
        return "<p><img src=\"data:image/png;base64," + Base64.getEncoder().encodeToString(png.toByteArray())
            + "\">";
    }

    /** A column of the course, smoothed over ten seconds. */
    private static double[] column(Trial trial, int column) {
        double[] values = new double[trial.samples.size()];
        for (int i = 0; i < values.length; i++) {
            double sum = 0;
            int count = 0;
            for (int k = Math.max(0, i - 5); k < Math.min(values.length, i + 5); k++, count++) {
                sum += trial.samples.get(k)[column];
            }
            values[i] = sum / count;
        }
        return values;
    }

    private static double[] seconds(Trial trial) {
        double[] seconds = new double[trial.samples.size()];
        for (int i = 0; i < seconds.length; i++) { seconds[i] = i; }
        return seconds;
    }

    private static XYChart lines(String title, String axisTitle) {
        XYChart chart = new XYChartBuilder().width(1000).height(380).title(title).xAxisTitle(
            "seconds").yAxisTitle(axisTitle).build();
        chart.getStyler().setMarkerSize(0);
        return chart;
    }

    private static void line(XYChart chart, String name, double[] xValues, double[] yValues) {
        chart.addSeries(name, xValues, yValues).setMarker(SeriesMarkers.NONE);
    }

    private static XYChart course(List<Trial> one) {
        XYChart chart = lines("Load (share of capacity) and importance-weighted service", "load, service");
        line(chart, "load", seconds(one.get(0)), column(one.get(0), 0));
        one.forEach(
            trial -> line(chart, "service, " + trial.variant.name(), seconds(trial), column(trial, 1)));
        return chart;
    }

    private static XYChart levels(List<Trial> one) {
        XYChart chart = lines(
            "Levels: mean of the routers (least 0 to 1, most 1 to 2, hold 2 to 3), and routers below full",
            "level");
        one.stream().filter(
            trial -> trial.variant.before() == Variant.Before.LEVELS
                && trial.variant.pinned() == null).forEach(trial -> {
                    line(chart, "mean level, " + trial.variant.name(), seconds(trial), column(trial, 2));
                    line(chart, "routers below full, " + trial.variant.name(), seconds(trial),
                        column(trial, 3));
                });
        if (chart.getSeriesMap().isEmpty()) {
            line(chart, "no levels", new double[] {0, 1}, new double[] {0, 0});
        }
        return chart;
    }

    private static CategoryChart bars(String title, List<Trial> one, boolean workloads) {
        CategoryChart chart = new CategoryChartBuilder().width(1000).height(380).title(title).build();
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        one.forEach(trial -> {
            var shares = workloads ? trial.objectiveMetShare : trial.serviceByTenant;
            chart.addSeries(trial.variant.name(), List.copyOf(shares.keySet()), List.copyOf(shares.values()));
        });
        return chart;
    }

    private static CategoryChart times(List<Trial> one) {
        CategoryChart chart = new CategoryChartBuilder().width(1000).height(320).title(
            "Seconds at each level, mean of the routers").build();
        one.stream().filter(trial -> !trial.secondsAtLevel.isEmpty()).forEach(
            trial -> chart.addSeries(trial.variant.name(),
                trial.secondsAtLevel.keySet().stream().filter(level -> level != ServiceLevel.SHARE).map(
                    YamlDocument::word).toList(),
                trial.secondsAtLevel.entrySet().stream().filter(
                    entry -> entry.getKey() != ServiceLevel.SHARE).map(
                        entry -> entry.getValue()).toList()));
        if (chart.getSeriesMap().isEmpty()) { chart.addSeries("no levels", List.of("full"), List.of(0)); }
        return chart;
    }
}
