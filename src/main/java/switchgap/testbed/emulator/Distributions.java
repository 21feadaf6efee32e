package switchgap.testbed.emulator;

import java.util.SplittableRandom;

/** Random variates that the emulator draws. */
final class Distributions {
  private Distributions() {}

  /** A standard normal variate by the Box-Muller transform; two draws. */
  static double gaussian(SplittableRandom random) {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
