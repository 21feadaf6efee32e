package switchgap.admission;

/**
 * The input of a degradation controller, derived from the measured pressure.
 *
 * @param shedRate required change of the shed fraction per second; negative to shed less
 * @param hasEnoughSamples whether enough requests were measured to increase the shed fraction
 * @param isSevere whether the pressure is far above its threshold
 */
record ControlSignal(double shedRate, boolean hasEnoughSamples, boolean isSevere) {
  ControlSignal withShedRate(double rate) {
    return new ControlSignal(rate, hasEnoughSamples, isSevere);
  }
}
