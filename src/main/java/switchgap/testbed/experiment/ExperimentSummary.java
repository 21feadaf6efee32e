package switchgap.testbed.experiment;

import java.io.PrintStream;
import java.util.List;
import switchgap.config.EnumWords;

/** Prints a table for each case of an experiment, with one row per variant. */
final class ExperimentSummary {
  private ExperimentSummary() {}

  static void print(Experiment experiment, PrintStream out) {
    experiment.cases().forEach(experimentCase -> printCase(experiment, experimentCase, out));
  }

  /**
   * Prints one table. Columns: "changes" is the mean number of level changes per router, "4 stays"
   * the most changes of a router within four times the minimum time at a level, "back" the longest
   * recovery of a trial in seconds (see {@link LevelFigures}), "busy" the mean utilization of the
   * workers.
   */
  private static void printCase(
      Experiment experiment, ExperimentCase experimentCase, PrintStream out) {
    out.printf(
        "%n%s: %d s of simulated time, %d workers, %d routers, bound from capacity %.3f%n",
        experimentCase.name(),
        experimentCase.curve().seconds(),
        experimentCase.scenario().workerCount(),
        experimentCase.scenario().routerCount(),
        experimentCase.serviceBound());
    out.printf(
        "%-10s %-14s %-15s %-40s %8s %7s %5s %5s %s%n",
        "variant",
        "service",
        "to reference",
        "start targets met",
        "changes",
        "4 stays",
        "back",
        "busy",
        "time at each level, changes of customers' own levels");
    for (Variant variant : experiment.variants()) {
      printRow(experimentCase, variant, experiment.referenceVariant(), out);
    }
  }

  private static void printRow(
      ExperimentCase experimentCase, Variant variant, Variant reference, PrintStream out) {
    Spread service = experimentCase.service(variant);
    Spread difference = experimentCase.serviceDifference(variant, reference);
    out.printf(
        "%-10s %.3f ±%.3f   %+.3f ±%.3f   %-40s %8.1f %7d %5d %5.2f %s%n",
        variant.name(),
        service.mean(),
        service.standardDeviation(),
        difference.mean(),
        difference.standardDeviation(),
        formatObjectivesMet(experimentCase, variant),
        experimentCase.meanChangesPerRouter(variant),
        experimentCase.maxChangesInFourMinStays(variant),
        experimentCase.maxRecoverySeconds(variant),
        experimentCase.utilization(variant).mean(),
        formatLevels(experimentCase.trialsOf(variant)));
  }

  private static String formatObjectivesMet(ExperimentCase experimentCase, Variant variant) {
    StringBuilder formattedShares = new StringBuilder();
    for (String requestClass : experimentCase.requestClasses()) {
      double mean = experimentCase.objectiveMetShare(variant, requestClass).mean();
      formattedShares.append(String.format("%s %.3f  ", requestClass, mean));
    }
    return formattedShares.toString();
  }

  /**
   * Formats the seconds at each level in the first trial, and the changes of tenants' own levels in
   * all trials.
   */
  private static String formatLevels(List<Trial> trials) {
    StringBuilder formattedLevels = new StringBuilder();
    trials
        .get(0)
        .levels()
        .secondsAtLevel()
        .forEach(
            (level, seconds) -> {
              if (seconds > 0) {
                formattedLevels.append(
                    String.format("%s %.0f s ", EnumWords.wordOf(level), seconds));
              }
            });
    for (Trial trial : trials) {
      if (!trial.levels().tenantChangeCounts().isEmpty()) {
        formattedLevels.append(trial.levels().tenantChangeCounts()).append(' ');
      }
    }
    return formattedLevels.toString();
  }
}
