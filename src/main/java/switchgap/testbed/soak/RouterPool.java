package switchgap.testbed.soak;

import java.util.List;
import java.util.Random;

/**
 * The routers that faults are injected into.
 *
 * @param routers all routers of the run, started
 */
record RouterPool(List<ServeProcess> routers) {
  /** A router drawn at random. */
  ServeProcess draw(Random random) {
    return routers.get(random.nextInt(routers.size()));
  }
}
