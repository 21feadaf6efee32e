package switchgap.testbed.experiment;

import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import switchgap.testbed.scenario.Scenario;

/** One scenario under one curve, and the trials of all variants and seeds. */
record ExperimentCase(Scenario scenario, LoadCurve curve, List<Trial> trials) {
  String name() {
    return scenario.name() + ", " + curve.name();
  }

  /** The most service that capacity alone allows; the same for every trial. */
  double bound() {
    return trials.get(0).service().bound();
  }

  /** Names of the request classes, sorted. */
  Set<String> requestClasses() {
    return trials.get(0).service().objectiveMetShare().keySet();
  }

  /** The trials of a variant, in the order of the seeds. */
  @SuppressWarnings("ReferenceEquality") // a list may hold two variants that are alike
  List<Trial> of(Variant variant) {
    return trials.stream().filter(trial -> trial.variant() == variant).toList();
  }

  /** One trial of each variant: those of the first seed. */
  List<Trial> trialsOfFirstSeed() {
    long seed = trials.get(0).seed();
    return trials.stream().filter(trial -> trial.seed() == seed).toList();
  }

  Spread service(Variant variant) {
    return spread(variant, trial -> trial.service().overall());
  }

  /** Differences of service to a reference variant, seed by seed. */
  Spread serviceAgainst(Variant variant, Variant reference) {
    List<Trial> own = of(variant);
    List<Trial> others = of(reference);
    double[] differences = new double[own.size()];
    for (int i = 0; i < differences.length; i++) {
      differences[i] = own.get(i).service().overall() - others.get(i).service().overall();
    }
    return Spread.of(differences);
  }

  Spread objectiveMetShare(Variant variant, String requestClass) {
    return spread(variant, trial -> trial.service().objectiveMetShare().get(requestClass));
  }

  Spread utilization(Variant variant) {
    return spread(variant, Trial::meanUtilization);
  }

  private Spread spread(Variant variant, ToDoubleFunction<Trial> figure) {
    return Spread.of(of(variant).stream().mapToDouble(figure).toArray());
  }

  /** Mean changes of level that a router made. */
  double meanChangesPerRouter(Variant variant) {
    return spread(
            variant, trial -> trial.levels().commonChangeCount() / (double) scenario.routers())
        .mean();
  }

  int maxChangesInFourStays(Variant variant) {
    return of(variant).stream()
        .mapToInt(trial -> trial.levels().maxChangesInFourStays())
        .max()
        .orElse(0);
  }

  /** The longest recovery, {@link LevelFigures#NO_RECOVERY} where no trial recovered. */
  long maxRecoverySeconds(Variant variant) {
    return of(variant).stream()
        .mapToLong(trial -> trial.levels().recoverySeconds())
        .max()
        .orElse(LevelFigures.NO_RECOVERY);
  }
}
