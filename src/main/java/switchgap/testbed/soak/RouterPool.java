package switchgap.testbed.soak;

import java.util.List;
import java.util.Random;

/**
 * Picks routers for fault injection.
 *
 * @param routers all routers of the run, started
 */
record RouterPool(List<ServeProcess> routers) {
  /** Picks a router at random. */
  ServeProcess pick(Random random) {
    return routers.get(random.nextInt(routers.size()));
  }
}
