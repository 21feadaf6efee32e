package switchgap.policy.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Weighted rendezvous (highest random weight) hashing. Ranks the workers for a function by a hash
 * of both ids, so that all routers compute the same order, and a worker that joins or leaves does
 * not change the relative order of the others.
 */
final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the ready workers in a function's hash order. */
  static Worker[] order(Function function, Iterable<Worker> workers) {
    List<Worker> ready = new ArrayList<>();
    for (Worker worker : workers) {
      if (worker.isReady()) {
        ready.add(worker);
      }
    }
    ready.sort(
        Comparator.comparingDouble((Worker worker) -> -score(function, worker))
            .thenComparingLong(worker -> worker.hash));
    return ready.toArray(new Worker[0]);
  }

  /** Scores a worker; one with half the weight ranks first for half as many functions. */
  private static double score(Function function, Worker worker) {
    double uniform = ((mix(worker.hash ^ mix(function.hash)) >>> 11) + 0.5) / (1L << 53);
    return -worker.hashWeight() / Math.log(uniform);
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
