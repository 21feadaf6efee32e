package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Random;

/** Injects faults of one type. */
interface SoakFaultInjector {
  /**
   * Injects a fault and removes it at its end; blocks until then.
   *
   * @param fault the planned fault
   * @param random source of the remaining random choices, with the seed of the fault
   * @throws IOException if the fault can't be injected
   * @throws InterruptedException if the thread is interrupted
   */
  void inject(PlannedFault fault, Random random) throws IOException, InterruptedException;
}
