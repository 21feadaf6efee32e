package switchgap.policy.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/** Hash orders of which only a part is computed. */
class HashOrderCacheTest {
  private static final HistogramEdges EDGES =
      new HistogramEdges(
          new double[] {1}, new double[] {1}, new double[] {1}, new double[] {1}, new double[] {1});
  private static final int MANY_WORKERS = 3200;

  private static Function function(long hash) {
    return new Function(0, hash, new double[] {1}, Duration.ZERO, 0);
  }

  /** Workers with few different weights and hashes, so that some scores are equal. */
  private static List<Worker> randomWorkers(int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Worker> workers = new ArrayList<>();
    for (int id = 0; id < count; id++) {
      WorkerState state = random.nextInt(5) > 0 ? WorkerState.READY : WorkerState.DRAINING;
      EndpointEntry entry =
          new EndpointEntry(id, random.nextInt(2 * count), state, 0, 0, 0, 1, null);
      Worker worker = new Worker(entry, EDGES);
      worker.update(entry, 1, 1 + random.nextInt(3));
      workers.add(worker);
    }
    return workers;
  }

  private static List<Worker> readyWorkers(int count) {
    List<Worker> workers = randomWorkers(count, 1);
    for (Worker worker : workers) {
      worker.update(
          new EndpointEntry(worker.id, worker.hash, WorkerState.READY, 0, 0, 0, 1, null), 1, 1);
    }
    return workers;
  }

  /** The whole order, sorted by the scores of weighted rendezvous hashing. */
  private static List<Worker> fullOrder(Function function, List<Worker> workers) {
    return workers.stream()
        .filter(Worker::isReady)
        .sorted(
            Comparator.comparingDouble((Worker worker) -> -score(function, worker))
                .thenComparingLong(worker -> worker.hash))
        .toList();
  }

  private static double score(Function function, Worker worker) {
    double uniform = ((mix(worker.hash ^ mix(function.hash)) >>> 11) + 0.5) / (1L << 53);
    return -worker.hashWeight() / Math.log(uniform);
  }

  private static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  @Property(tries = 200)
  void orderEqualsFullSortHoweverMuchOfItIsComputedFirst(
      @ForAll @IntRange(max = 300) int workerCount,
      @ForAll @IntRange(max = 300) int lookedAt,
      @ForAll long seed) {
    List<Worker> workers = randomWorkers(workerCount, seed);
    Function function = function(seed >>> 24);
    HashOrderCache cache = new HashOrderCache(workers, MANY_WORKERS);
    List<Worker> expected = fullOrder(function, workers);
    assertThat(first(cache, function, lookedAt))
        .isEqualTo(expected.subList(0, Math.min(lookedAt, expected.size())));
    assertThat(cache.order(function)).containsExactlyElementsOf(expected);
  }

  private static List<Worker> first(HashOrderCache cache, Function function, int count) {
    List<Worker> workers = new ArrayList<>();
    for (Worker worker : cache.order(function)) {
      if (workers.size() == count) {
        break;
      }
      workers.add(worker);
    }
    return workers;
  }

  /** Guards against an order of the whole fleet for each function (review case 6). */
  @Test
  void cachesOnlyWorkersThatWereLookedAt() {
    HashOrderCache cache = new HashOrderCache(readyWorkers(MANY_WORKERS), 1 << 20);
    List<Function> functions = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      functions.add(function(i));
      first(cache, functions.get(i), 2);
    }
    assertThat(cache.cachedWorkers()).isLessThan(100 * 20);
    functions.forEach(cache::remove);
    assertThat(cache.cachedWorkers()).isZero();
  }

  @Test
  void dropsLeastRecentlyUsedOrdersPastTheBound() {
    HashOrderCache cache = new HashOrderCache(readyWorkers(MANY_WORKERS), 2 * MANY_WORKERS);
    for (int i = 0; i < 10; i++) {
      assertThat(cache.order(function(i))).hasSize(MANY_WORKERS);
      assertThat(cache.cachedWorkers()).isBetween(MANY_WORKERS, 2 * MANY_WORKERS);
    }
    cache.clear();
    assertThat(cache.cachedWorkers()).isZero();
  }
}
