package switchgap.admission;

/**
 * What the measured pressure requires of a degradation controller.
 *
 * @param shedRate wanted change of the shed fraction a second; below 0 less is to be shed
 * @param enoughSamples whether enough requests were measured to shed more
 * @param severe whether the pressure is far above its thresholds
 */
record ControlSignal(double shedRate, boolean enoughSamples, boolean severe) {
  /** The same signal with another rate. */
  ControlSignal withShedRate(double rate) {
    return new ControlSignal(rate, enoughSamples, severe);
  }
}
