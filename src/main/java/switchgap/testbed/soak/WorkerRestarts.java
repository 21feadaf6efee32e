package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Random;

/**
 * Restarts workers: a worker drains, stops and starts again.
 *
 * @param fleet the workers
 */
record WorkerRestarts(EmulatedFleet fleet) {
  private static final int MIN_DRAIN_MILLIS = 300;
  private static final int MAX_DRAIN_MILLIS = 2000;
  private static final int MAX_DOWN_MILLIS = 1000;

  /** Restarts a random worker, unless too few serve; blocks until it has started again. */
  void restart(Random random, boolean changesAddress) throws IOException, InterruptedException {
    WorkerEmulator worker = fleet.drain(random.nextInt());
    if (worker == null) {
      // Too few serving workers would be left.
      return;
    }
    Thread.sleep(MIN_DRAIN_MILLIS + random.nextInt(MAX_DRAIN_MILLIS - MIN_DRAIN_MILLIS));
    fleet.remove(worker);
    Thread.sleep(random.nextInt(MAX_DOWN_MILLIS));
    fleet.restart(worker, changesAddress);
  }
}
