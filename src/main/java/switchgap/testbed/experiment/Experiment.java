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
import switchgap.config.YamlDocument;
import switchgap.testbed.scenario.Scenario;

/**
 * Runs each variant with every scenario, load curve and seed in virtual time, using all cores. All
 * variants get the same request arrivals.
 */
public final class Experiment {
  private static final long SEED_STEP = 101;
  private static final double NANOS_PER_SECOND = 1e9;

  private final String name;
  private final List<ExperimentCase> cases = new ArrayList<>();
  private final List<Variant> variants;
  private final int seedCount;

  private Experiment(Path file, boolean quick) throws IOException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument settings = document.section("experiment");
    name = settings.text("name");
    int configuredSeedCount = settings.integer("seeds", 1, 1000, 3);
    seedCount = quick ? 1 : configuredSeedCount;
    double quickShare = settings.number("quick", 0.01, 1, 0.4);
    settings.rejectUnknownKeys();
    variants = Variant.read(document);
    List<LoadCurve> curves = readCurves(document.section("curves"), file, quick ? quickShare : 1);
    for (String scenarioFile : document.textList("days")) {
      Scenario scenario = Scenario.read(file.resolveSibling(scenarioFile).normalize());
      curves.forEach(curve -> cases.add(new ExperimentCase(scenario, curve, new ArrayList<>())));
    }
    if (cases.isEmpty()) {
      throw document.invalid("days", "needs at least one day and one curve");
    }
    document.rejectUnknownKeys();
  }

  private static List<LoadCurve> readCurves(YamlDocument section, Path file, double timeFactor)
      throws IOException {
    List<LoadCurve> curves = new ArrayList<>();
    for (String curveName : section.keys()) {
      LoadCurve fullLengthCurve = LoadCurveReader.read(curveName, section.section(curveName), file);
      curves.add(fullLengthCurve.scaleTime(timeFactor));
    }
    return curves;
  }

  String name() {
    return name;
  }

  /** All combinations of a scenario and a curve. */
  List<ExperimentCase> cases() {
    return cases;
  }

  List<Variant> variants() {
    return variants;
  }

  /** The first variant, which the others are compared with. */
  Variant referenceVariant() {
    return variants.get(0);
  }

  /** Number of trials that each variant runs per case, each with a different seed. */
  int seedCount() {
    return seedCount;
  }

  /**
   * Runs an experiment, prints a table per case and writes the requested files.
   *
   * @param file experiment document (YAML)
   * @param quick whether to run only one seed and a part of each curve's duration
   * @param reportFile file that the HTML report is written to, null for no report
   * @param resultsDirectory directory that the result tables are written to, null for no tables
   * @param out stream that the tables are printed to
   */
  public static void run(
      Path file, boolean quick, Path reportFile, Path resultsDirectory, PrintStream out)
      throws IOException, InterruptedException {
    Experiment experiment = new Experiment(file, quick);
    long startNanos = System.nanoTime();
    experiment.runTrials();
    out.printf(
        "%s: %d seeds, %.0f s of wall-clock time (simulated workers)%n",
        experiment.name, experiment.seedCount, (System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    ExperimentSummary.print(experiment, out);
    if (resultsDirectory != null) {
      ExperimentTables.write(resultsDirectory, experiment.cases);
    }
    if (reportFile != null) {
      ExperimentReport.write(reportFile, experiment);
      out.println("report: " + reportFile);
    }
  }

  /** A submitted trial and the case that it belongs to. */
  private record PendingTrial(ExperimentCase experimentCase, Future<Trial> trial) {}

  private void runTrials() throws InterruptedException {
    ExecutorService executor =
        Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
    try {
      for (PendingTrial pending : submitTrials(executor)) {
        pending.experimentCase.trials().add(pending.trial.get());
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException(
          "experiment aborted: a trial ended with an exception", e.getCause());
    } finally {
      executor.shutdownNow();
    }
  }

  private List<PendingTrial> submitTrials(ExecutorService executor) {
    List<PendingTrial> submitted = new ArrayList<>();
    for (ExperimentCase experimentCase : cases) {
      Scenario scenario = experimentCase.scenario();
      for (Variant variant : variants) {
        for (int i = 0; i < seedCount; i++) {
          long seed = scenario.seed() + SEED_STEP * i;
          Future<Trial> trial =
              executor.submit(() -> Trial.run(scenario, seed, variant, experimentCase.curve()));
          submitted.add(new PendingTrial(experimentCase, trial));
        }
      }
    }
    return submitted;
  }
}
