package switchgap.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.YamlDocument;
import switchgap.scenario.Scenario;

/** Variants over days, curves and seeds, the same arrivals for each variant, on all cores. */
public final class Experiment {
    /** One day under one curve, and the trials of all variants and seeds. */
    record Case(Scenario scenario, LoadCurve curve, List<Trial> trials) {
        String name() { return scenario.name() + ", " + curve.name; }

        List<Trial> of(Variant variant) {
            return trials.stream().filter(trial -> trial.variant == variant).toList();
        }

        /** Differences to the first variant, seed by seed. */
        Spread against(Variant variant, Variant first, ToDoubleFunction<Trial> figure) {
            List<Trial> own = of(variant);
            List<Trial> reference = of(first);
            double[] differences = new double[own.size()];
            for (int i = 0; i < differences.length; i++) {
                differences[i] = figure.applyAsDouble(own.get(i)) - figure.applyAsDouble(reference.get(i));
            }
            return Spread.of(differences);
        }

        Spread spread(Variant variant, ToDoubleFunction<Trial> figure) {
            return Spread.of(of(variant).stream().mapToDouble(figure).toArray());
        }
    }

    /** Mean and standard deviation over seeds. */
    record Spread(double mean, double deviation) {
        static Spread of(double[] values) {
            double mean = 0;
            for (double v : values) { mean += v / values.length; }
            double sum = 0;
            for (double v : values) { sum += (v - mean) * (v - mean); }
            return new Spread(mean, values.length < 2 ? 0 : Math.sqrt(sum / (values.length - 1)));
        }
    }

    final String name;
    final List<Case> cases = new ArrayList<>();
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
            LoadCurve whole = LoadCurve.read(curveName, document.section("curves").section(curveName), file);
            curves.add(quick ? whole.within(share) : whole);
        }
        for (String scenarioFile : document.textList("days")) {
            Scenario scenario = Scenario.read(file.resolveSibling(scenarioFile).normalize());
            curves.forEach(curve -> cases.add(new Case(scenario, curve, new ArrayList<>())));
        }
        if (cases.isEmpty()) { throw document.invalid("days", "needs a day and a curve or more"); }
        document.rejectUnknownKeys();
    }

    /** Runs it; prints a table and, where asked for, writes the report and the results as columns. */
    public static void run(Path file, boolean quick, Path report, Path results, PrintStream out)
        throws IOException, InterruptedException {
        Experiment experiment = new Experiment(file, quick);
        long began = System.nanoTime();
        experiment.play();
        out.printf("%s, %d seeds, %.0f s of this machine (simulated servers)%n", experiment.name,
            experiment.seeds,
            (System.nanoTime() - began) / 1e9);
        experiment.cases.forEach(experimentCase -> experiment.print(experimentCase, out));
        if (results != null) { experiment.columns(Files.createDirectories(results)); }
        if (report != null) {
            ExperimentReport.write(report, experiment);
            out.println("report: " + report);
        }
    }

    private void play() throws InterruptedException {
        ExecutorService cores = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        List<Future<Trial>> running = new ArrayList<>();
        List<Case> casesByTrial = new ArrayList<>();
        for (Case experimentCase : cases) {
            for (Variant variant : variants) {
                for (int seedIndex = 0; seedIndex < seeds; seedIndex++) {
                    long seed = experimentCase.scenario.seed() + 101L * seedIndex;
                    running.add(cores.submit(
                        () -> new Trial(experimentCase.scenario, seed, variant, experimentCase.curve)));
                    casesByTrial.add(experimentCase);
                }
            }
        }
        try {
            for (int i = 0; i < running.size(); i++) { casesByTrial.get(i).trials.add(running.get(i).get()); }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a trial failed", e.getCause());
        } finally {
            cores.shutdownNow();
        }
    }

    private void print(Case experimentCase, PrintStream out) {
        out.printf("%n%s: %d s of simulated time, %d workers, %d routers, bound from capacity %.3f%n",
            experimentCase.name(), experimentCase.curve.seconds(),
            experimentCase.scenario.workers(), experimentCase.scenario.routers(),
            experimentCase.trials.get(0).bound);
        out.printf("%-10s %-14s %-15s %-40s %8s %7s %5s %5s %s%n", "variant", "service", "to the first",
            "start targets met",
            "changes", "4 stays", "back", "busy", "time at each level, changes of customers' own");
        for (Variant variant : variants) {
            List<Trial> all = experimentCase.of(variant);
            Spread service = experimentCase.spread(variant, trial -> trial.service);
            Spread paired = experimentCase.against(variant, variants.get(0), trial -> trial.service);
            StringBuilder met = new StringBuilder();
            all.get(0).objectiveMetShare.keySet().forEach(
                requestClass -> met.append(
                    String.format("%s %.3f  ", requestClass, experimentCase.spread(variant,
                        trial -> trial.objectiveMetShare.get(requestClass)).mean)));
            StringBuilder at = new StringBuilder();
            all.get(0).secondsAtLevel.forEach((level, seconds) -> {
                if (seconds > 0) {
                    at.append(String.format("%s %.0f s ", YamlDocument.word(level), seconds));
                }
            });
            all.forEach(trial -> {
                if (!trial.tenantLevelChanges.isEmpty()) { at.append(trial.tenantLevelChanges).append(' '); }
            });
            out.printf("%-10s %.3f ±%.3f   %+.3f ±%.3f   %-40s %8.1f %7d %5d %5.2f %s%n", variant.name(),
                service.mean, service.deviation,
                paired.mean, paired.deviation, met,
                experimentCase.spread(variant,
                    trial -> trial.changeCount / (double) experimentCase.scenario.routers()).mean,
                all.stream().mapToInt(trial -> trial.maxChangesInFourStays).max().orElse(0),
                all.stream().mapToLong(trial -> trial.recoverySeconds).max().orElse(-1),
                experimentCase.spread(variant, trial -> trial.meanUtilization).mean, at);
        }
    }

    /** {@code trials} with one row a trial and workload or customer, {@code seconds} with one a second of a trial, {@code changes} of level. */
    private void columns(Path dir) throws IOException {
        LinkedHashMap<String, Class<?>> trials = key();
        trials.put("of", String.class);
        trials.put("name", String.class);
        trials.put("figure", String.class);
        trials.put("value", Double.class);
        LinkedHashMap<String, Class<?>> seconds = key();
        seconds.put("second", Long.class);
        List.of("load", "service", "level", "below_full").forEach(
            column -> seconds.put(column, Double.class));
        LinkedHashMap<String, Class<?>> changes = key();
        changes.put("router", Long.class);
        changes.put("at", Double.class);
        List.of("customer", "from", "to", "condition").forEach(column -> changes.put(column, String.class));
        changes.put("pressure", Double.class);
        changes.put("evidence", Double.class);
        try (ResultTable changeTable = new ResultTable(dir.resolve("changes"), changes);
            ResultTable trialTable = new ResultTable(dir.resolve("trials"), trials);
            ResultTable secondTable = new ResultTable(dir.resolve("seconds"), seconds)) {
            for (Case experimentCase : cases) {
                for (Trial trial : experimentCase.trials) {
                    trialTable.row(experimentCase.name(), trial.variant.name(), trial.seed, "all", "",
                        "service", trial.service);
                    trialTable.row(experimentCase.name(), trial.variant.name(), trial.seed, "all", "",
                        "bound", trial.bound);
                    trialTable.row(experimentCase.name(), trial.variant.name(), trial.seed, "all", "",
                        "changes", trial.changeCount);
                    for (var entry : trial.objectiveMetShare.entrySet()) {
                        trialTable.row(experimentCase.name(), trial.variant.name(), trial.seed, "workload",
                            entry.getKey(), "in target",
                            entry.getValue());
                    }
                    for (var entry : trial.serviceByTenant.entrySet()) {
                        trialTable.row(experimentCase.name(), trial.variant.name(), trial.seed, "customer",
                            entry.getKey(), "service",
                            entry.getValue());
                    }
                    for (Emulator.RouterLevelChange routerChange : trial.levelChanges) {
                        ServiceLevelChange change = routerChange.change();
                        changeTable.row(experimentCase.name(), trial.variant.name(), trial.seed,
                            routerChange.router(), change.at().toMillis() / 1e3,
                            change.tenant() < 0 ? "all"
                                : Trial.tenantName(experimentCase.scenario, change.tenant()),
                            YamlDocument.word(change.from()), YamlDocument.word(change.to()),
                            change.condition(),
                            change.pressure(),
                            change.samples());
                    }
                    for (int i = 0; i < trial.samples.size(); i++) {
                        double[] sample = trial.samples.get(i);
                        secondTable.row(experimentCase.name(), trial.variant.name(), trial.seed, i, sample[0],
                            sample[1], sample[2], sample[3]);
                    }
                }
            }
        }
    }

    private static LinkedHashMap<String, Class<?>> key() {
        LinkedHashMap<String, Class<?>> columns = new LinkedHashMap<>();
        columns.put("case", String.class);
        columns.put("variant", String.class);
        columns.put("seed", Long.class);
        return columns;
    }
}
