package switchgap.testbed.experiment;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
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

/** Renders charts of one trial per variant, as HTML image elements with embedded PNG data. */
final class ReportCharts {
  private static final int WIDTH_PIXELS = 1000;
  private static final int HEIGHT_PIXELS = 380;
  private static final int LEVEL_TIMES_HEIGHT_PIXELS = 320;
  private static final int SMOOTHING_HALF_WINDOW_SECONDS = 5;

  private final List<Trial> trials;

  /** {@code trials} has one trial per variant, all with the same seed. */
  ReportCharts(List<Trial> trials) {
    this.trials = trials;
  }

  /** Chart of load and service over time. */
  String loadAndService() throws IOException {
    XYChart chart =
        lineChart("Load (share of capacity) and importance-weighted service", "load, service");
    addLine(chart, "load", trials.get(0), SecondSample::load);
    for (Trial trial : trials) {
      addLine(chart, "service, " + trial.variant().name(), trial, SecondSample::service);
    }
    return toHtmlImage(chart);
  }

  /** Chart of service levels over time, for the variants whose levels are not pinned. */
  String levelsOverTime() throws IOException {
    XYChart chart =
        lineChart(
            "Levels: mean of the routers (least 0 to 1, most 1 to 2, hold 2 to 3), and routers"
                + " below full",
            "level");
    for (Trial trial : trials) {
      Variant variant = trial.variant();
      if (variant.admission() == Variant.AdmissionMode.LEVELS && variant.pinnedLevel() == null) {
        addLine(chart, "mean level, " + variant.name(), trial, SecondSample::meanLevel);
        addLine(
            chart, "routers below full, " + variant.name(), trial, SecondSample::belowFullShare);
      }
    }
    if (chart.getSeriesMap().isEmpty()) {
      addLine(chart, "no levels", new double[] {0, 1}, new double[] {0, 0});
    }
    return toHtmlImage(chart);
  }

  /** Chart of the share of requests that met their latency objective, by request class. */
  String objectivesMet() throws IOException {
    return shareChart("Start targets met, by workload", ServiceFigures::objectiveMetShare);
  }

  /** Chart of service by tenant. */
  String serviceByTenant() throws IOException {
    return shareChart("Service by customer", ServiceFigures::serviceByTenant);
  }

  private String shareChart(String title, Function<ServiceFigures, Map<String, Double>> figure)
      throws IOException {
    CategoryChart chart = barChart(title, HEIGHT_PIXELS);
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setYAxisMax(1.0);
    for (Trial trial : trials) {
      Map<String, Double> shares = figure.apply(trial.service());
      chart.addSeries(
          trial.variant().name(), List.copyOf(shares.keySet()), List.copyOf(shares.values()));
    }
    return toHtmlImage(chart);
  }

  /** Chart of the seconds at each service level. */
  String timeAtLevels() throws IOException {
    CategoryChart chart =
        barChart("Seconds at each level, mean of the routers", LEVEL_TIMES_HEIGHT_PIXELS);
    for (Trial trial : trials) {
      Map<ServiceLevel, Double> seconds = trial.levels().secondsAtLevel();
      if (!seconds.isEmpty()) {
        List<ServiceLevel> levels =
            seconds.keySet().stream().filter(level -> level != ServiceLevel.SHARE).toList();
        chart.addSeries(
            trial.variant().name(),
            levels.stream().map(EnumWords::wordOf).toList(),
            levels.stream().map(seconds::get).toList());
      }
    }
    if (chart.getSeriesMap().isEmpty()) {
      chart.addSeries("no levels", List.of("full"), List.of(0));
    }
    return toHtmlImage(chart);
  }

  private static XYChart lineChart(String title, String axisTitle) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("seconds")
            .yAxisTitle(axisTitle)
            .build();
    chart.getStyler().setMarkerSize(0);
    return chart;
  }

  private static CategoryChart barChart(String title, int heightPixels) {
    return new CategoryChartBuilder().width(WIDTH_PIXELS).height(heightPixels).title(title).build();
  }

  private static void addLine(
      XYChart chart, String name, Trial trial, ToDoubleFunction<SecondSample> figure) {
    addLine(chart, name, seconds(trial), smoothed(trial, figure));
  }

  private static void addLine(XYChart chart, String name, double[] xValues, double[] yValues) {
    chart.addSeries(name, xValues, yValues).setMarker(SeriesMarkers.NONE);
  }

  private static double[] seconds(Trial trial) {
    double[] seconds = new double[trial.samples().size()];
    for (int i = 0; i < seconds.length; i++) {
      seconds[i] = i;
    }
    return seconds;
  }

  /** Returns the moving average over ten seconds, over fewer at both ends of the trial. */
  private static double[] smoothed(Trial trial, ToDoubleFunction<SecondSample> figure) {
    List<SecondSample> samples = trial.samples();
    double[] values = new double[samples.size()];
    for (int i = 0; i < values.length; i++) {
      int from = Math.max(0, i - SMOOTHING_HALF_WINDOW_SECONDS);
      int end = Math.min(values.length, i + SMOOTHING_HALF_WINDOW_SECONDS);
      double sum = 0;
      for (SecondSample sample : samples.subList(from, end)) {
        sum += figure.applyAsDouble(sample);
      }
      values[i] = sum / (end - from);
    }
    return values;
  }

  private static String toHtmlImage(Chart<?, ?> chart) throws IOException {
    chart.getStyler().setChartTitleVisible(true);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
    chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    ByteArrayOutputStream png = new ByteArrayOutputStream();
    BitmapEncoder.saveBitmap(chart, png, BitmapEncoder.BitmapFormat.PNG);
    String data = Base64.getEncoder().encodeToString(png.toByteArray());
    return "<p><img src=\"data:image/png;base64," + data + "\">";
  }
}
