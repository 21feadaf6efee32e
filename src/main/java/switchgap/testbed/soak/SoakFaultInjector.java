package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Random;

/** Injects faults of one type. */
interface SoakFaultInjector {
  /**
   * Injects a fault and removes it when its duration is over; blocks meanwhile.
   *
   * @param fault what the plan states
   * @param random draws targets and strengths, seeded by the plan
   * @throws IOException if the fault can't be injected
   * @throws InterruptedException if the thread is interrupted
   */
  void inject(PlannedFault fault, Random random) throws IOException, InterruptedException;
}
