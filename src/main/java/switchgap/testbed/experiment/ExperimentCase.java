package switchgap.testbed.experiment;

import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import switchgap.testbed.scenario.Scenario;

/** A scenario with a load curve, and the trials of all variants and seeds for them. */
record ExperimentCase(Scenario scenario, LoadCurve curve, List<Trial> trials) {
  String name() {
    return scenario.name() + ", " + curve.name();
  }

  /** Upper bound of service by capacity; the same for every trial. */
  double serviceBound() {
    return trials.get(0).service().capacityBound();
  }

  /** Returns the names of the request classes, sorted. */
  Set<String> requestClasses() {
    return trials.get(0).service().objectiveMetShare().keySet();
  }

  /** Returns the trials of a variant, in the order of the seeds. */
  @SuppressWarnings(
      "ReferenceEquality") // equal variants are still separate ones, with trials of their own
  List<Trial> trialsOf(Variant variant) {
    return trials.stream().filter(trial -> trial.variant() == variant).toList();
  }

  /** Returns one trial of each variant: the one with the first seed. */
  List<Trial> trialsOfFirstSeed() {
    long seed = trials.get(0).seed();
    return trials.stream().filter(trial -> trial.seed() == seed).toList();
  }

  Spread service(Variant variant) {
    return spread(variant, trial -> trial.service().overallService());
  }

  /**
   * Returns the spread of the difference in service to the reference variant, for pairs of trials
   * with the same seed.
   */
  Spread serviceDifference(Variant variant, Variant reference) {
    List<Trial> variantTrials = trialsOf(variant);
    List<Trial> referenceTrials = trialsOf(reference);
    double[] differences = new double[variantTrials.size()];
    for (int i = 0; i < differences.length; i++) {
      differences[i] =
          variantTrials.get(i).service().overallService()
              - referenceTrials.get(i).service().overallService();
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
    return Spread.of(trialsOf(variant).stream().mapToDouble(figure).toArray());
  }

  /** Mean number of changes of the common service level per router. */
  double meanChangesPerRouter(Variant variant) {
    return spread(
            variant, trial -> trial.levels().commonChangeCount() / (double) scenario.routerCount())
        .mean();
  }

  int maxChangesInFourMinStays(Variant variant) {
    return trialsOf(variant).stream()
        .mapToInt(trial -> trial.levels().maxChangesInFourMinStays())
        .max()
        .orElse(0);
  }

  /**
   * Returns the longest recovery of the variant's trials, {@link LevelFigures#NO_RECOVERY} if no
   * trial recovered.
   */
  long maxRecoverySeconds(Variant variant) {
    return trialsOf(variant).stream()
        .mapToLong(trial -> trial.levels().recoverySeconds())
        .max()
        .orElse(LevelFigures.NO_RECOVERY);
  }
}
