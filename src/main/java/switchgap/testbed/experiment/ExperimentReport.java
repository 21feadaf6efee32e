package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Writes an experiment's results as one HTML page with embedded charts. */
final class ExperimentReport {
  private final Experiment experiment;
  private final StringBuilder html = new StringBuilder();

  private ExperimentReport(Experiment experiment) {
    this.experiment = experiment;
  }

  static void write(Path file, Experiment experiment) throws IOException {
    ExperimentReport report = new ExperimentReport(experiment);
    report.appendHead();
    for (ExperimentCase experimentCase : experiment.cases()) {
      report.appendCase(experimentCase);
    }
    Files.writeString(file, report.html);
  }

  private void appendHead() {
    html.append("<!doctype html><meta charset=utf-8><title>")
        .append(experiment.name())
        .append("</title>")
        .append("<style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}")
        .append("table{border-collapse:collapse}")
        .append("td,th{padding:3px 8px;border-bottom:1px solid #ccc;text-align:right}")
        .append("td:first-child,th:first-child{text-align:left}")
        .append("img{max-width:100%}</style><h1>")
        .append(experiment.name())
        .append("</h1><p>Simulated servers: the figures compare variants and say nothing of real")
        .append(" machines. The same seed brings the same arrivals to each variant; differences")
        .append(" are taken seed by seed, with the standard deviation over ")
        .append(experiment.seedCount())
        .append(" seeds. Service is weighted by importance.</p>");
  }

  private void appendCase(ExperimentCase experimentCase) throws IOException {
    appendTableHead(experimentCase);
    for (Variant variant : experiment.variants()) {
      appendRow(experimentCase, variant);
    }
    html.append("</table>");
    ReportCharts charts = new ReportCharts(experimentCase.trialsOfFirstSeed());
    html.append(charts.loadAndService());
    html.append(charts.levelsOverTime());
    html.append(charts.objectivesMet());
    html.append(charts.serviceByTenant());
    html.append(charts.timeAtLevels());
  }

  private void appendTableHead(ExperimentCase experimentCase) {
    appendFormatted(
        "<h2>%s</h2><p>%d workers, %d routers, %d s of simulated time; bound from capacity"
            + " %.3f.</p><table><tr><th>variant<th>service<th>to %s",
        experimentCase.name(),
        experimentCase.scenario().workerCount(),
        experimentCase.scenario().routerCount(),
        experimentCase.curve().seconds(),
        experimentCase.serviceBound(),
        experiment.referenceVariant().name());
    for (String requestClass : experimentCase.requestClasses()) {
      html.append("<th>").append(requestClass).append(" in target");
    }
    html.append("<th>changes a router<th>most in four stays<th>back at full after")
        .append("<th>customers' own changes");
  }

  private void appendRow(ExperimentCase experimentCase, Variant variant) {
    Spread service = experimentCase.service(variant);
    Spread difference = experimentCase.serviceDifference(variant, experiment.referenceVariant());
    appendFormatted(
        "<tr><td>%s<td>%.3f ± %.3f<td>%+.3f ± %.3f",
        variant.name(),
        service.mean(),
        service.standardDeviation(),
        difference.mean(),
        difference.standardDeviation());
    for (String requestClass : experimentCase.requestClasses()) {
      appendFormatted("<td>%.3f", experimentCase.objectiveMetShare(variant, requestClass).mean());
    }
    boolean hasLevels = variant.admission() == Variant.AdmissionMode.LEVELS;
    appendFormatted(
        "<td>%.1f<td>%d<td>%s<td>%s",
        experimentCase.meanChangesPerRouter(variant),
        experimentCase.maxChangesInFourMinStays(variant),
        hasLevels ? formatRecovery(experimentCase.maxRecoverySeconds(variant)) : "",
        hasLevels ? formatTenantChangeCounts(experimentCase.trialsOf(variant)) : "");
  }

  private void appendFormatted(String format, Object... values) {
    html.append(String.format(Locale.ROOT, format, values));
  }

  private static String formatRecovery(long seconds) {
    return seconds == LevelFigures.NO_RECOVERY ? "not within it" : seconds + " s";
  }

  private static String formatTenantChangeCounts(List<Trial> trials) {
    return trials.stream()
        .map(trial -> trial.levels().tenantChangeCounts().toString())
        .distinct()
        .reduce((left, right) -> left + " " + right)
        .orElse("");
  }
}
