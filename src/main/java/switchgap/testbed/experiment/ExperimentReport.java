package switchgap.testbed.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;

/** An experiment as one HTML page with its plots inside. */
final class ExperimentReport {
  private ExperimentReport() {}

  static void write(Path file, Experiment experiment) throws IOException {
    StringBuilder html =
        new StringBuilder(
            "<!doctype html><meta charset=utf-8><title>"
                + experiment.name
                + "</title>"
                + "<style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}"
                + "table{border-collapse:collapse}"
                + "td,th{padding:3px 8px;border-bottom:1px solid #ccc;text-align:right}"
                + "td:first-child,th:first-child{text-align:left}"
                + "img{max-width:100%}</style><h1>"
                + experiment.name
                + "</h1><p>Simulated servers: the figures compare variants and say nothing of real"
                + " machines. The same seed brings the same arrivals to each variant; differences"
                + " are taken seed by seed, with the standard deviation over "
                + experiment.seeds
                + " seeds. Service is weighted by importance.</p>");
    for (ExperimentCase experimentCase : experiment.cases) {
      section(html, experiment, experimentCase);
    }
    Files.writeString(file, html);
  }

  private static void section(
      StringBuilder html, Experiment experiment, ExperimentCase experimentCase) throws IOException {
    html.append(
        String.format(
            Locale.ROOT,
            "<h2>%s</h2><p>%d workers, %d routers, %d s of simulated time; bound from capacity"
                + " %.3f.</p><table><tr><th>variant<th>service<th>to %s",
            experimentCase.name(),
            experimentCase.scenario().workers(),
            experimentCase.scenario().routers(),
            experimentCase.curve().seconds(),
            experimentCase.trials().get(0).bound,
            experiment.variants.get(0).name()));
    experimentCase
        .trials()
        .get(0)
        .objectiveMetShare
        .keySet()
        .forEach(requestClass -> html.append("<th>").append(requestClass).append(" in target"));
    html.append(
        "<th>changes a router<th>most in four stays<th>back at full after<th>customers' own"
            + " changes");
    for (Variant variant : experiment.variants) {
      row(html, experimentCase, variant, experiment.variants.get(0));
    }
    html.append("</table>");
    long seed = experimentCase.trials().get(0).seed;
    List<Trial> one = experimentCase.trials().stream().filter(trial -> trial.seed == seed).toList();
    html.append(img(course(one)));
    html.append(img(levels(one)));
    html.append(img(bars("Start targets met, by workload", one, true)));
    html.append(img(bars("Service by customer", one, false)));
    html.append(img(times(one)));
  }

  private static void row(
      StringBuilder html, ExperimentCase experimentCase, Variant variant, Variant reference) {
    Spread service = experimentCase.spread(variant, trial -> trial.service);
    Spread paired = experimentCase.against(variant, reference, trial -> trial.service);
    html.append(
        String.format(
            Locale.ROOT,
            "<tr><td>%s<td>%.3f ± %.3f<td>%+.3f ± %.3f",
            variant.name(),
            service.mean(),
            service.deviation(),
            paired.mean(),
            paired.deviation()));
    for (String requestClass : experimentCase.trials().get(0).objectiveMetShare.keySet()) {
      Spread met =
          experimentCase.spread(variant, trial -> trial.objectiveMetShare.get(requestClass));
      html.append(String.format(Locale.ROOT, "<td>%.3f", met.mean()));
    }
    boolean hasLevels = variant.before() == Variant.Before.LEVELS;
    html.append(
        String.format(
            Locale.ROOT,
            "<td>%.1f<td>%d<td>%s<td>%s",
            experimentCase.meanChangesPerRouter(variant),
            experimentCase.maxChangesInFourStays(variant),
            hasLevels ? recovery(experimentCase.maxRecoverySeconds(variant)) : "",
            hasLevels ? tenantChanges(experimentCase.of(variant)) : ""));
  }

  private static String recovery(long seconds) {
    return seconds < 0 ? "not within it" : seconds + " s";
  }

  private static String tenantChanges(List<Trial> trials) {
    return trials.stream()
        .map(trial -> trial.tenantLevelChanges.toString())
        .distinct()
        .reduce((left, right) -> left + " " + right)
        .orElse("");
  }

  private static String img(Chart<?, ?> chart) throws IOException {
    chart.getStyler().setChartTitleVisible(true);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
    chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
    chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
    ByteArrayOutputStream png = new ByteArrayOutputStream();
    BitmapEncoder.saveBitmap(chart, png, BitmapEncoder.BitmapFormat.PNG);
    return "<p><img src=\"data:image/png;base64,"
        + Base64.getEncoder().encodeToString(png.toByteArray())
        + "\">";
  }

  /** A figure of each second, smoothed over ten. */
  private static double[] smoothed(Trial trial, ToDoubleFunction<SecondSample> figure) {
    double[] values = new double[trial.samples.size()];
    for (int i = 0; i < values.length; i++) {
      double sum = 0;
      int count = 0;
      for (int k = Math.max(0, i - 5); k < Math.min(values.length, i + 5); k++, count++) {
        sum += figure.applyAsDouble(trial.samples.get(k));
      }
      values[i] = sum / count;
    }
    return values;
  }

  private static double[] seconds(Trial trial) {
    double[] seconds = new double[trial.samples.size()];
    for (int i = 0; i < seconds.length; i++) {
      seconds[i] = i;
    }
    return seconds;
  }

  private static XYChart lines(String title, String axisTitle) {
    XYChart chart =
        new XYChartBuilder()
            .width(1000)
            .height(380)
            .title(title)
            .xAxisTitle("seconds")
            .yAxisTitle(axisTitle)
            .build();
    chart.getStyler().setMarkerSize(0);
    return chart;
  }

  private static void line(XYChart chart, String name, double[] xValues, double[] yValues) {
    chart.addSeries(name, xValues, yValues).setMarker(SeriesMarkers.NONE);
  }

  private static XYChart course(List<Trial> one) {
    XYChart chart =
        lines("Load (share of capacity) and importance-weighted service", "load, service");
    line(chart, "load", seconds(one.get(0)), smoothed(one.get(0), SecondSample::load));
    one.forEach(
        trial ->
            line(
                chart,
                "service, " + trial.variant.name(),
                seconds(trial),
                smoothed(trial, SecondSample::service)));
    return chart;
  }

  private static XYChart levels(List<Trial> one) {
    XYChart chart =
        lines(
            "Levels: mean of the routers (least 0 to 1, most 1 to 2, hold 2 to 3), and routers"
                + " below full",
            "level");
    one.stream()
        .filter(
            trial ->
                trial.variant.before() == Variant.Before.LEVELS && trial.variant.pinned() == null)
        .forEach(
            trial -> {
              line(
                  chart,
                  "mean level, " + trial.variant.name(),
                  seconds(trial),
                  smoothed(trial, SecondSample::meanLevel));
              line(
                  chart,
                  "routers below full, " + trial.variant.name(),
                  seconds(trial),
                  smoothed(trial, SecondSample::belowFullShare));
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
    one.forEach(
        trial -> {
          var shares = workloads ? trial.objectiveMetShare : trial.serviceByTenant;
          chart.addSeries(
              trial.variant.name(), List.copyOf(shares.keySet()), List.copyOf(shares.values()));
        });
    return chart;
  }

  private static CategoryChart times(List<Trial> one) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(1000)
            .height(320)
            .title("Seconds at each level, mean of the routers")
            .build();
    one.stream()
        .filter(trial -> !trial.secondsAtLevel.isEmpty())
        .forEach(
            trial ->
                chart.addSeries(
                    trial.variant.name(),
                    trial.secondsAtLevel.keySet().stream()
                        .filter(level -> level != ServiceLevel.SHARE)
                        .map(EnumWords::wordOf)
                        .toList(),
                    trial.secondsAtLevel.entrySet().stream()
                        .filter(entry -> entry.getKey() != ServiceLevel.SHARE)
                        .map(entry -> entry.getValue())
                        .toList()));
    if (chart.getSeriesMap().isEmpty()) {
      chart.addSeries("no levels", List.of("full"), List.of(0));
    }
    return chart;
  }
}
