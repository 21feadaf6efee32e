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

/** Variants over scenarios, curves and seeds, the same arrivals for each variant, on all cores. */
public final class Experiment {
  private static final long SEED_STEP = 101;
  private static final double NANOS_PER_SECOND = 1e9;

  private final String name;
  private final List<ExperimentCase> cases = new ArrayList<>();
  private final List<Variant> variants;
  private final int seeds;

  private Experiment(Path file, boolean quick) throws IOException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument settings = document.section("experiment");
    name = settings.text("name");
    int seedCount = settings.integer("seeds", 1, 1000, 3);
    seeds = quick ? 1 : seedCount;
    double quickShare = settings.number("quick", 0.01, 1, 0.4);
    settings.rejectUnknownKeys();
    variants = Variant.read(document);
    List<LoadCurve> curves = curves(document.section("curves"), file, quick ? quickShare : 1);
    for (String scenarioFile : document.textList("days")) {
      Scenario scenario = Scenario.read(file.resolveSibling(scenarioFile).normalize());
      curves.forEach(curve -> cases.add(new ExperimentCase(scenario, curve, new ArrayList<>())));
    }
    if (cases.isEmpty()) {
      throw document.invalid("days", "needs a day and a curve or more");
    }
    document.rejectUnknownKeys();
  }

  private static List<LoadCurve> curves(YamlDocument section, Path file, double timeShare)
      throws IOException {
    List<LoadCurve> curves = new ArrayList<>();
    for (String curveName : section.keys()) {
      LoadCurve complete = LoadCurveReader.read(curveName, section.section(curveName), file);
      curves.add(complete.within(timeShare));
    }
    return curves;
  }

  String name() {
    return name;
  }

  /** Every scenario under every curve. */
  List<ExperimentCase> cases() {
    return cases;
  }

  List<Variant> variants() {
    return variants;
  }

  /** The variant that the others are compared with: the first. */
  Variant referenceVariant() {
    return variants.get(0);
  }

  /** Number of seeds, each of which every variant plays. */
  int seeds() {
    return seeds;
  }

  /**
   * Runs an experiment and prints a table.
   *
   * @param file the experiment
   * @param quick whether to play one seed and a part of the time
   * @param report receives an HTML page, null for none
   * @param results directory that receives the results, null for none
   * @param out receives the table
   */
  public static void run(Path file, boolean quick, Path report, Path results, PrintStream out)
      throws IOException, InterruptedException {
    Experiment experiment = new Experiment(file, quick);
    long startedAt = System.nanoTime();
    experiment.play();
    out.printf(
        "%s, %d seeds, %.0f s of this machine (simulated servers)%n",
        experiment.name, experiment.seeds, (System.nanoTime() - startedAt) / NANOS_PER_SECOND);
    ExperimentSummary.print(experiment, out);
    if (results != null) {
      ExperimentTables.write(results, experiment.cases);
    }
    if (report != null) {
      ExperimentReport.write(report, experiment);
      out.println("report: " + report);
    }
  }

  /** A trial that runs, and the case that it belongs to. */
  private record PendingTrial(ExperimentCase experimentCase, Future<Trial> trial) {}

  private void play() throws InterruptedException {
    ExecutorService executor =
        Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
    try {
      for (PendingTrial pending : submitTrials(executor)) {
        pending.experimentCase.trials().add(pending.trial.get());
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a trial failed", e.getCause());
    } finally {
      executor.shutdownNow();
    }
  }

  private List<PendingTrial> submitTrials(ExecutorService executor) {
    List<PendingTrial> submitted = new ArrayList<>();
    for (ExperimentCase experimentCase : cases) {
      Scenario scenario = experimentCase.scenario();
      for (Variant variant : variants) {
        for (int i = 0; i < seeds; i++) {
          long seed = scenario.seed() + SEED_STEP * i;
          Future<Trial> trial =
              executor.submit(() -> Trial.play(scenario, seed, variant, experimentCase.curve()));
          submitted.add(new PendingTrial(experimentCase, trial));
        }
      }
    }
    return submitted;
  }
}
