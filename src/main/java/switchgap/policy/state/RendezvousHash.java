package switchgap.policy.state;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Weighted rendezvous (highest random weight) hashing. Ranks the workers for a function by a hash
 * of both ids, so that all routers compute the same order, and a worker that joins or leaves does
 * not change the relative order of the others.
 */
final class RendezvousHash {
  /** Share of its upper bound by which a computed score may exceed it, because both are rounded. */
  private static final double ROUNDING_ERROR = 1e-12;

  /** A worker and its score for a function; the last one in hash order is the least. */
  private record Ranked(Worker worker, double score) implements Comparable<Ranked> {
    @Override
    public int compareTo(Ranked other) {
      int byScore = Double.compare(score, other.score);
      if (byScore != 0) {
        return byScore;
      }
      int byHash = Long.compare(other.worker.hash, worker.hash);
      return byHash != 0 ? byHash : Integer.compare(other.worker.id, worker.id);
    }
  }

  // The ready workers, their hashes and their weights. Primitive arrays keep the scan of a large
  // fleet within the processor's cache.
  private final Worker[] workers;
  private final long[] hashes;
  private final double[] weights;

  /** Creates the hash of the workers that are ready now, with their present weights. */
  RendezvousHash(Iterable<Worker> allWorkers) {
    List<Worker> ready = new ArrayList<>();
    for (Worker worker : allWorkers) {
      if (worker.isReady()) {
        ready.add(worker);
      }
    }
    workers = ready.toArray(new Worker[0]);
    hashes = ready.stream().mapToLong(worker -> worker.hash).toArray();
    weights = ready.stream().mapToDouble(Worker::hashWeight).toArray();
  }

  /** Number of workers in each order. */
  int size() {
    return workers.length;
  }

  /**
   * Returns the first workers in a function's hash order.
   *
   * @param count number of workers to return, if there are as many
   */
  Worker[] first(int count, Function function) {
    long functionHash = mix(function.hash);
    PriorityQueue<Ranked> best = new PriorityQueue<>(Math.max(1, Math.min(count, size())));
    double leastScore = 0;
    for (int i = 0; i < workers.length; i++) {
      double uniform = uniform(hashes[i], functionHash);
      boolean mayRank = best.size() < count || maxScore(uniform, weights[i]) >= leastScore;
      if (mayRank) {
        add(new Ranked(workers[i], score(uniform, weights[i])), count, best);
        leastScore = best.peek().score();
      }
    }
    Worker[] order = new Worker[best.size()];
    for (int i = order.length - 1; i >= 0; i--) {
      order[i] = best.poll().worker();
    }
    return order;
  }

  private static void add(Ranked ranked, int count, PriorityQueue<Ranked> best) {
    if (best.size() < count) {
      best.add(ranked);
    } else if (ranked.compareTo(best.peek()) > 0) {
      best.poll();
      best.add(ranked);
    }
  }

  /** A hash of both ids, uniform between 0 and 1. */
  private static double uniform(long workerHash, long functionHash) {
    return ((mix(workerHash ^ functionHash) >>> 11) + 0.5) / (1L << 53);
  }

  /** Scores a worker; one with half the weight ranks first for half as many functions. */
  private static double score(double uniform, double weight) {
    return -weight / Math.log(uniform);
  }

  /** An upper bound of the score without the logarithm: {@code -ln(u)} is at least {@code 1-u}. */
  private static double maxScore(double uniform, double weight) {
    return weight / (1 - uniform) * (1 + ROUNDING_ERROR);
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
