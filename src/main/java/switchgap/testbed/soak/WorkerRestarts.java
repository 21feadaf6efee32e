package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Random;

/**
 * Restarts of workers: drain, end, and a new start.
 *
 * @param fleet the workers
 */
record WorkerRestarts(EmulatedFleet fleet) {
  private static final int MIN_DRAIN_MILLIS = 300;
  private static final int MAX_DRAIN_MILLIS = 2000;
  private static final int MAX_DOWN_MILLIS = 1000;

  /** Restarts a worker drawn at random; blocks until it has started again. */
  void restart(Random random, boolean moves) throws IOException, InterruptedException {
    WorkerEmulator worker = fleet.drain(random.nextInt());
    if (worker == null) {
      return; // too few would be left
    }
    Thread.sleep(MIN_DRAIN_MILLIS + random.nextInt(MAX_DRAIN_MILLIS - MIN_DRAIN_MILLIS));
    fleet.remove(worker);
    Thread.sleep(random.nextInt(MAX_DOWN_MILLIS));
    fleet.restart(worker, moves);
  }
}
