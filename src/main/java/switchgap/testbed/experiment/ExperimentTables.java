package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;

/**
 * An experiment's results as tables: {@code trials} with one row a trial and request class or
 * tenant, {@code seconds} with one a second of a trial, {@code changes} with one a change of
 * service level. Column names and words are those that readers of the files know.
 */
final class ExperimentTables {
  private ExperimentTables() {}

  /** Writes the tables into a directory, which is made if it is not there. */
  static void write(Path directory, List<ExperimentCase> cases) throws IOException {
    Files.createDirectories(directory);
    try (ResultTable changes = new ResultTable(directory.resolve("changes"), changeColumns());
        ResultTable trials = new ResultTable(directory.resolve("trials"), trialColumns());
        ResultTable seconds = new ResultTable(directory.resolve("seconds"), secondColumns())) {
      for (ExperimentCase each : cases) {
        for (Trial trial : each.trials()) {
          writeTrial(trials, each, trial);
          writeChanges(changes, each, trial);
          writeSeconds(seconds, each, trial);
        }
      }
    }
  }

  private static Map<String, Class<?>> keyColumns() {
    Map<String, Class<?>> columns = new LinkedHashMap<>();
    columns.put("case", String.class);
    columns.put("variant", String.class);
    columns.put("seed", Long.class);
    return columns;
  }

  private static Map<String, Class<?>> trialColumns() {
    Map<String, Class<?>> columns = keyColumns();
    List.of("of", "name", "figure").forEach(column -> columns.put(column, String.class));
    columns.put("value", Double.class);
    return columns;
  }

  private static Map<String, Class<?>> secondColumns() {
    Map<String, Class<?>> columns = keyColumns();
    columns.put("second", Long.class);
    List.of("load", "service", "level", "below_full")
        .forEach(column -> columns.put(column, Double.class));
    return columns;
  }

  private static Map<String, Class<?>> changeColumns() {
    Map<String, Class<?>> columns = keyColumns();
    columns.put("router", Long.class);
    columns.put("at", Double.class);
    List.of("customer", "from", "to", "condition")
        .forEach(column -> columns.put(column, String.class));
    List.of("pressure", "evidence").forEach(column -> columns.put(column, Double.class));
    return columns;
  }

  private static void writeTrial(ResultTable table, ExperimentCase experimentCase, Trial trial)
      throws IOException {
    writeFigure(table, experimentCase, trial, "all", "", "service", trial.service);
    writeFigure(table, experimentCase, trial, "all", "", "bound", trial.bound);
    writeFigure(table, experimentCase, trial, "all", "", "changes", trial.changeCount);
    for (Map.Entry<String, Double> met : trial.objectiveMetShare.entrySet()) {
      writeFigure(
          table, experimentCase, trial, "workload", met.getKey(), "in target", met.getValue());
    }
    for (Map.Entry<String, Double> service : trial.serviceByTenant.entrySet()) {
      writeFigure(
          table,
          experimentCase,
          trial,
          "customer",
          service.getKey(),
          "service",
          service.getValue());
    }
  }

  private static void writeFigure(
      ResultTable table,
      ExperimentCase experimentCase,
      Trial trial,
      String kind,
      String name,
      String figure,
      Number value)
      throws IOException {
    table.row(experimentCase.name(), trial.variant.name(), trial.seed, kind, name, figure, value);
  }

  private static void writeChanges(ResultTable table, ExperimentCase experimentCase, Trial trial)
      throws IOException {
    for (Emulator.RouterLevelChange routerChange : trial.levelChanges) {
      ServiceLevelChange change = routerChange.change();
      String tenant =
          routerChange.isCommon()
              ? "all"
              : Trial.tenantName(experimentCase.scenario(), change.tenant());
      table.row(
          experimentCase.name(),
          trial.variant.name(),
          trial.seed,
          routerChange.router(),
          change.time().toMillis() / 1e3,
          tenant,
          EnumWords.wordOf(change.previous()),
          EnumWords.wordOf(change.current()),
          change.condition(),
          change.pressure(),
          change.samples());
    }
  }

  private static void writeSeconds(ResultTable table, ExperimentCase experimentCase, Trial trial)
      throws IOException {
    int second = 0;
    for (SecondSample sample : trial.samples) {
      table.row(
          experimentCase.name(),
          trial.variant.name(),
          trial.seed,
          second++,
          sample.load(),
          sample.service(),
          sample.meanLevel(),
          sample.belowFullShare());
    }
  }
}
