package switchgap.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The planner's side: in which order loads are released. The load with the most waiting priority
 * weight for a second of loading goes first; waiting adds to the weight, so that no load starves.
 * Where replicas are placed, how many there are, and how many loads are in flight is decided by the
 * edge's router, which alone measures the store's throughput. Not thread-safe.
 */
public final class LoadScheduler {
  /** Priority weight that a second of waiting adds: guards against starvation. */
  private static final double WEIGHT_PER_WAITING_SECOND = 1;

  /** Load time, microseconds, of a function that has none configured. */
  private static final long DEFAULT_LOAD_MICROS = 500_000;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final Comparator<PendingLoad> HIGHEST_PRIORITY_FIRST =
      Comparator.comparingDouble(LoadScheduler::priority)
          .reversed()
          .thenComparingLong(PendingLoad::id);

  private long lastSequence = -1;
  private long epoch = -1;

  /** Returns the plan for a backlog, or null if it is not newer than the last one of its epoch. */
  public LoadPlan plan(LoadBacklog backlog) {
    if (backlog.epoch() != epoch) {
      epoch = backlog.epoch();
      lastSequence = -1;
    }
    if (backlog.sequence() <= lastSequence) {
      return null;
    }
    lastSequence = backlog.sequence();
    List<PendingLoad> ordered = new ArrayList<>(backlog.waiting());
    ordered.sort(HIGHEST_PRIORITY_FIRST);
    long[] ids = ordered.stream().mapToLong(PendingLoad::id).toArray();
    return new LoadPlan(backlog.epoch(), backlog.sequence(), ids);
  }

  /** Waiting priority weight for a second of loading. */
  private static double priority(PendingLoad load) {
    double weight =
        load.priorityWeight() + WEIGHT_PER_WAITING_SECOND * load.ageMicros() / MICROS_PER_SECOND;
    long loadMicros = load.loadMicros() > 0 ? load.loadMicros() : DEFAULT_LOAD_MICROS;
    return weight / Math.max(1, loadMicros) * MICROS_PER_SECOND;
  }
}
