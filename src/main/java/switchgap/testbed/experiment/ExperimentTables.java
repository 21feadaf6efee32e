package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;

/**
 * Writes an experiment's results as tables: {@code trials} with one row per figure of a trial, of
 * all its requests or of one request class or tenant; {@code seconds} with one row per second of a
 * trial; {@code changes} with one row per change of a service level. The column names and values
 * are part of the file format; they are independent of the names in the code.
 */
final class ExperimentTables {
  private ExperimentTables() {}

  /** Writes the tables to a directory, which is created if it doesn't exist. */
  static void write(Path directory, List<ExperimentCase> cases) throws IOException {
    Files.createDirectories(directory);
    try (ResultTable changes = new ResultTable(directory.resolve("changes"), changeColumns());
        ResultTable trials = new ResultTable(directory.resolve("trials"), trialColumns());
        ResultTable seconds = new ResultTable(directory.resolve("seconds"), secondColumns())) {
      for (ExperimentCase experimentCase : cases) {
        for (Trial trial : experimentCase.trials()) {
          writeTrial(trials, experimentCase, trial);
          writeChanges(changes, experimentCase, trial);
          writeSeconds(seconds, experimentCase, trial);
        }
      }
    }
  }

  private static List<ResultColumn> withKeyColumns(ResultColumn... columns) {
    List<ResultColumn> allColumns = new ArrayList<>();
    allColumns.add(ResultColumn.text("case"));
    allColumns.add(ResultColumn.text("variant"));
    allColumns.add(ResultColumn.integer("seed"));
    allColumns.addAll(List.of(columns));
    return allColumns;
  }

  private static List<ResultColumn> trialColumns() {
    return withKeyColumns(
        ResultColumn.text("of"),
        ResultColumn.text("name"),
        ResultColumn.text("figure"),
        ResultColumn.real("value"));
  }

  private static List<ResultColumn> secondColumns() {
    return withKeyColumns(
        ResultColumn.integer("second"),
        ResultColumn.real("load"),
        ResultColumn.real("service"),
        ResultColumn.real("level"),
        ResultColumn.real("below_full"));
  }

  private static List<ResultColumn> changeColumns() {
    return withKeyColumns(
        ResultColumn.integer("router"),
        ResultColumn.real("at"),
        ResultColumn.text("customer"),
        ResultColumn.text("from"),
        ResultColumn.text("to"),
        ResultColumn.text("condition"),
        ResultColumn.real("pressure"),
        ResultColumn.real("evidence"));
  }

  private static void writeTrial(ResultTable table, ExperimentCase experimentCase, Trial trial)
      throws IOException {
    writeFigure(
        table, experimentCase, trial, "all", "", "service", trial.service().overallService());
    writeFigure(table, experimentCase, trial, "all", "", "bound", trial.service().capacityBound());
    writeFigure(
        table, experimentCase, trial, "all", "", "changes", trial.levels().commonChangeCount());
    for (Map.Entry<String, Double> objectiveMet : trial.service().objectiveMetShare().entrySet()) {
      writeFigure(
          table,
          experimentCase,
          trial,
          "workload",
          objectiveMet.getKey(),
          "in target",
          objectiveMet.getValue());
    }
    for (Map.Entry<String, Double> tenantService : trial.service().serviceByTenant().entrySet()) {
      writeFigure(
          table,
          experimentCase,
          trial,
          "customer",
          tenantService.getKey(),
          "service",
          tenantService.getValue());
    }
  }

  private static void writeFigure(
      ResultTable table,
      ExperimentCase experimentCase,
      Trial trial,
      String scope,
      String name,
      String figure,
      Number value)
      throws IOException {
    table.addRow(
        experimentCase.name(), trial.variant().name(), trial.seed(), scope, name, figure, value);
  }

  private static void writeChanges(ResultTable table, ExperimentCase experimentCase, Trial trial)
      throws IOException {
    for (RouterLevelChange routerChange : trial.levels().changes()) {
      ServiceLevelChange change = routerChange.change();
      String tenant =
          routerChange.isCommon()
              ? "all"
              : LevelFigures.tenantName(experimentCase.scenario(), change.tenant());
      table.addRow(
          experimentCase.name(),
          trial.variant().name(),
          trial.seed(),
          routerChange.routerIndex(),
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
    for (SecondSample sample : trial.samples()) {
      table.addRow(
          experimentCase.name(),
          trial.variant().name(),
          trial.seed(),
          second++,
          sample.load(),
          sample.service(),
          sample.meanLevel(),
          sample.belowFullShare());
    }
  }
}
