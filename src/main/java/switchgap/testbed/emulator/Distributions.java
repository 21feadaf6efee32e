package switchgap.testbed.emulator;

import java.util.SplittableRandom;

/** Random variates for the emulator. */
final class Distributions {
  private Distributions() {}

  /** Returns a standard normal variate by the Box-Muller transform, from two random draws. */
  static double gaussian(SplittableRandom random) {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
