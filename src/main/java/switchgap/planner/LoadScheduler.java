package switchgap.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides in the planner in which order loads are released. The load with the highest priority
 * weight per second of load time is first. The weight increases while a load waits, so that no load
 * starves. The router decides on which workers replicas are loaded, how many there are, and how
 * many loads are in flight, because only the router measures the throughput of the store. Not
 * thread-safe.
 */
public final class LoadScheduler {
  /** Priority weight that a load gains for each second of waiting; prevents starvation. */
  private static final double WEIGHT_PER_WAITING_SECOND = 1;

  /** Load time, in microseconds, that is assumed for a function without a configured one. */
  private static final long DEFAULT_LOAD_MICROS = 500_000;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final Comparator<PendingLoad> HIGHEST_PRIORITY_FIRST =
      Comparator.comparingDouble(LoadScheduler::priority)
          .reversed()
          .thenComparingLong(PendingLoad::id);

  private long lastSequence = -1;
  private long epoch = -1;

  /**
   * Returns the plan for a backlog, or null if the backlog is not newer than the last one of its
   * epoch.
   */
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

  /** Priority weight, including that gained by waiting, per second of load time. */
  private static double priority(PendingLoad load) {
    double weight =
        load.priorityWeight() + WEIGHT_PER_WAITING_SECOND * load.ageMicros() / MICROS_PER_SECOND;
    long loadMicros = load.loadMicros() > 0 ? load.loadMicros() : DEFAULT_LOAD_MICROS;
    return weight / Math.max(1, loadMicros) * MICROS_PER_SECOND;
  }
}
