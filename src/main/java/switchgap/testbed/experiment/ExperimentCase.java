package switchgap.testbed.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;
import switchgap.testbed.scenario.Scenario;

/** One scenario under one curve, and the trials of all variants and seeds. */
record ExperimentCase(Scenario scenario, LoadCurve curve, List<Trial> trials) {
  String name() {
    return scenario.name() + ", " + curve.name;
  }

  /** The trials of a variant, in the order of the seeds. */
  List<Trial> of(Variant variant) {
    return trials.stream().filter(trial -> trial.variant.equals(variant)).toList();
  }

  /** Differences to a reference variant, seed by seed. */
  Spread against(Variant variant, Variant reference, ToDoubleFunction<Trial> figure) {
    List<Trial> own = of(variant);
    List<Trial> others = of(reference);
    double[] differences = new double[own.size()];
    for (int i = 0; i < differences.length; i++) {
      differences[i] = figure.applyAsDouble(own.get(i)) - figure.applyAsDouble(others.get(i));
    }
    return Spread.of(differences);
  }

  Spread spread(Variant variant, ToDoubleFunction<Trial> figure) {
    return Spread.of(of(variant).stream().mapToDouble(figure).toArray());
  }

  /** Mean changes of level that a router made. */
  double meanChangesPerRouter(Variant variant) {
    return spread(variant, trial -> trial.changeCount / (double) scenario.routers()).mean();
  }

  int maxChangesInFourStays(Variant variant) {
    return of(variant).stream().mapToInt(trial -> trial.maxChangesInFourStays).max().orElse(0);
  }

  long maxRecoverySeconds(Variant variant) {
    return of(variant).stream()
        .mapToLong(trial -> trial.recoverySeconds)
        .max()
        .orElse(Trial.NO_RECOVERY);
  }
}
