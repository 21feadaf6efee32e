package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import switchgap.config.EnumWords;
import switchgap.config.YamlDocument;
import switchgap.testbed.scenario.Scenario;

/** Variants over scenarios, curves and seeds, the same arrivals for each variant, on all cores. */
public final class Experiment {
  private static final long SEED_STEP = 101;

  final String name;
  final List<ExperimentCase> cases = new ArrayList<>();
  final List<Variant> variants;
  final int seeds;

  private Experiment(Path file, boolean quick) throws IOException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument settings = document.section("experiment");
    name = settings.text("name");
    int seedCount = settings.integer("seeds", 1, 1000, 3);
    seeds = quick ? 1 : seedCount;
    double share = settings.number("quick", 0.01, 1, 0.4);
    settings.rejectUnknownKeys();
    variants = Variant.read(document);
    List<LoadCurve> curves = new ArrayList<>();
    for (String curveName : document.section("curves").keys()) {
      LoadCurve whole =
          LoadCurve.read(curveName, document.section("curves").section(curveName), file);
      curves.add(quick ? whole.within(share) : whole);
    }
    for (String scenarioFile : document.textList("days")) {
      Scenario scenario = Scenario.read(file.resolveSibling(scenarioFile).normalize());
      curves.forEach(curve -> cases.add(new ExperimentCase(scenario, curve, new ArrayList<>())));
    }
    if (cases.isEmpty()) {
      throw document.invalid("days", "needs a day and a curve or more");
    }
    document.rejectUnknownKeys();
  }

  /**
   * Runs an experiment; prints a table and writes the report and the results where a path is given
   * (else null).
   */
  public static void run(Path file, boolean quick, Path report, Path results, PrintStream out)
      throws IOException, InterruptedException {
    Experiment experiment = new Experiment(file, quick);
    long startedAt = System.nanoTime();
    experiment.play();
    out.printf(
        "%s, %d seeds, %.0f s of this machine (simulated servers)%n",
        experiment.name, experiment.seeds, (System.nanoTime() - startedAt) / 1e9);
    experiment.cases.forEach(experimentCase -> experiment.print(experimentCase, out));
    if (results != null) {
      ExperimentTables.write(results, experiment.cases);
    }
    if (report != null) {
      ExperimentReport.write(report, experiment);
      out.println("report: " + report);
    }
  }

  private void play() throws InterruptedException {
    ExecutorService cores =
        Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
    List<Future<Trial>> running = new ArrayList<>();
    List<ExperimentCase> casesByTrial = new ArrayList<>();
    for (ExperimentCase experimentCase : cases) {
      for (Variant variant : variants) {
        for (int seedIndex = 0; seedIndex < seeds; seedIndex++) {
          long seed = experimentCase.scenario().seed() + SEED_STEP * seedIndex;
          running.add(
              cores.submit(
                  () ->
                      new Trial(experimentCase.scenario(), seed, variant, experimentCase.curve())));
          casesByTrial.add(experimentCase);
        }
      }
    }
    try {
      for (int i = 0; i < running.size(); i++) {
        casesByTrial.get(i).trials().add(running.get(i).get());
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a trial failed", e.getCause());
    } finally {
      cores.shutdownNow();
    }
  }

  private void print(ExperimentCase experimentCase, PrintStream out) {
    out.printf(
        "%n%s: %d s of simulated time, %d workers, %d routers, bound from capacity %.3f%n",
        experimentCase.name(),
        experimentCase.curve().seconds(),
        experimentCase.scenario().workers(),
        experimentCase.scenario().routers(),
        experimentCase.trials().get(0).bound);
    out.printf(
        "%-10s %-14s %-15s %-40s %8s %7s %5s %5s %s%n",
        "variant",
        "service",
        "to the first",
        "start targets met",
        "changes",
        "4 stays",
        "back",
        "busy",
        "time at each level, changes of customers' own");
    for (Variant variant : variants) {
      Spread service = experimentCase.spread(variant, trial -> trial.service);
      Spread paired = experimentCase.against(variant, variants.get(0), trial -> trial.service);
      out.printf(
          "%-10s %.3f ±%.3f   %+.3f ±%.3f   %-40s %8.1f %7d %5d %5.2f %s%n",
          variant.name(),
          service.mean(),
          service.deviation(),
          paired.mean(),
          paired.deviation(),
          objectivesMet(experimentCase, variant),
          experimentCase.meanChangesPerRouter(variant),
          experimentCase.maxChangesInFourStays(variant),
          experimentCase.maxRecoverySeconds(variant),
          experimentCase.spread(variant, trial -> trial.meanUtilization).mean(),
          levels(experimentCase.of(variant)));
    }
  }

  private static String objectivesMet(ExperimentCase experimentCase, Variant variant) {
    StringBuilder text = new StringBuilder();
    for (String requestClass : experimentCase.of(variant).get(0).objectiveMetShare.keySet()) {
      Spread met =
          experimentCase.spread(variant, trial -> trial.objectiveMetShare.get(requestClass));
      text.append(String.format("%s %.3f  ", requestClass, met.mean()));
    }
    return text.toString();
  }

  /** Seconds at each level of the first trial, and the tenants' changes of all. */
  private static String levels(List<Trial> trials) {
    StringBuilder text = new StringBuilder();
    trials
        .get(0)
        .secondsAtLevel
        .forEach(
            (level, seconds) -> {
              if (seconds > 0) {
                text.append(String.format("%s %.0f s ", EnumWords.wordOf(level), seconds));
              }
            });
    for (Trial trial : trials) {
      if (!trial.tenantLevelChanges.isEmpty()) {
        text.append(trial.tenantLevelChanges).append(' ');
      }
    }
    return text.toString();
  }
}
