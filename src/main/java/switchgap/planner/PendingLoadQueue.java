package switchgap.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The edge's side: loads that its router requested are pending here until a plan names them, each
 * for a bounded time, and each is released at most once. The edge never depends on the planner:
 * when in doubt a load is released as it would be without one. Not thread-safe; times are durations
 * since the router's start.
 */
public final class PendingLoadQueue {
  /**
   * Whether a planner decides on releases. A connection or an accepted plan leads to LED, timeouts
   * in succession from LED to STALLED, a disconnect to ALONE. The names are part of the status
   * page.
   */
  public enum State {
    /** No planner is connected: each load is released immediately. */
    ALONE,
    /** A planner is connected, and its plans decide. */
    LED,
    /** A planner is connected, but no plan came in time: as ALONE until one is accepted. */
    STALLED
  }

  /** Carries out what is decided here; called within the queue's own methods. */
  public interface Listener {
    /** The load is released now; called at most once for each id. */
    void release(long id);

    /** A plan or a part of it was rejected: the planner that sent it is at fault. */
    void planRejected(PlanRejection rejection);
  }

  private record Entry(PendingLoad load, Duration addedAt, Duration timeoutAt) {}

  /**
   * Loads timed out in succession, without a plan between them, after which the planner counts as
   * stalled.
   */
  private static final int MAX_SUCCESSIVE_TIMEOUTS = 3;

  private static final int NANOS_PER_MICRO = 1000;

  private final Duration timeout;
  private final int capacity;
  private final Listener listener;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private State state = State.ALONE;
  private long epoch;
  private long nextId;
  private long lastSequence;
  private int successiveTimeouts;
  private long plannedCount;
  private long timedOutCount;
  private long staleCount;
  private long rejectedCount;

  /**
   * Each load is pending for {@code timeout} at most, and {@code capacity} loads at most are
   * pending.
   */
  public PendingLoadQueue(Duration timeout, int capacity, Listener listener) {
    this.timeout = timeout;
    this.capacity = capacity;
    this.listener = listener;
  }

  /** Whether a planner decides now. */
  public State state() {
    return state;
  }

  /** The epoch of the last connection of a planner, 0 before the first. */
  public long epoch() {
    return epoch;
  }

  /** The id that the next load must have. */
  public long nextId() {
    return nextId;
  }

  /**
   * A planner is connected; its plans must name this epoch.
   *
   * @throws IllegalArgumentException if the epoch is not above all earlier ones
   */
  public void connected(long newEpoch) {
    if (newEpoch <= epoch) {
      throw new IllegalArgumentException("epoch " + newEpoch + " after " + epoch);
    }
    epoch = newEpoch;
    markResponsive(0);
  }

  /** The planner is gone: all pending loads are released in the order in which they were added. */
  public void disconnected() {
    state = State.ALONE;
    releaseAll();
  }

  /**
   * The router requests a load.
   *
   * @throws IllegalArgumentException if its id is not {@link #nextId}
   */
  public void add(Duration now, PendingLoad load) {
    if (load.id() != nextId) {
      throw new IllegalArgumentException("load " + load.id() + " in place of " + nextId);
    }
    nextId++;
    entries.put(load.id(), new Entry(load, now, now.plus(timeout)));
    if (state != State.LED || entries.size() > capacity) {
      release(load.id());
    }
  }

  /**
   * The router cancels a load, which must not be released.
   *
   * @return false if it is no longer pending
   */
  public boolean withdraw(long id) {
    return entries.remove(id) != null;
  }

  /**
   * A plan came. Loads that it names and that are no longer pending are counted as stale; ids that
   * were never used, and plans for another epoch, are rejected.
   */
  public void planReceived(LoadPlan plan) {
    if (plan.epoch() != epoch || state == State.ALONE) {
      reject(PlanRejection.wrongEpoch(plan.epoch(), epoch));
      return;
    }
    if (plan.sequence() <= lastSequence) { // overtaken by a later one, or received twice
      staleCount += plan.ids().length;
      return;
    }
    markResponsive(plan.sequence());
    for (long id : plan.ids()) {
      releasePlanned(id);
    }
  }

  /** The planner is responsive, as of this sequence number: its plans decide. */
  private void markResponsive(long sequence) {
    lastSequence = sequence;
    successiveTimeouts = 0;
    state = State.LED;
  }

  private void releasePlanned(long id) {
    if (id < 0 || id >= nextId) {
      reject(PlanRejection.unknownLoad(id));
    } else if (entries.containsKey(id)) {
      plannedCount++;
      release(id);
    } else {
      staleCount++;
    }
  }

  /**
   * Releases loads that have timed out.
   *
   * @return when the next load times out, or null if none is pending
   */
  public Duration tick(Duration now) {
    for (Entry entry : List.copyOf(entries.values())) {
      if (entry.timeoutAt.compareTo(now) > 0) {
        return entry.timeoutAt;
      }
      timedOutCount++;
      release(entry.load.id());
      successiveTimeouts++;
      if (successiveTimeouts >= MAX_SUCCESSIVE_TIMEOUTS && state == State.LED) {
        state = State.STALLED;
        releaseAll();
        return null;
      }
    }
    return null;
  }

  private void releaseAll() {
    List.copyOf(entries.keySet()).forEach(this::release);
  }

  private void release(long id) {
    if (entries.remove(id) != null) {
      listener.release(id);
    }
  }

  private void reject(PlanRejection rejection) {
    rejectedCount++;
    listener.planRejected(rejection);
  }

  /**
   * Returns the pending loads, with their ages and the priority weight that waits for each
   * function.
   */
  public List<PendingLoad> waiting(Duration now, ToDoubleFunction<String> priorityWeight) {
    List<PendingLoad> loads = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      PendingLoad load = entry.load;
      loads.add(
          new PendingLoad(
              load.id(),
              load.worker(),
              load.function(),
              load.memoryMb(),
              load.loadMicros(),
              priorityWeight.applyAsDouble(load.function()),
              now.minus(entry.addedAt).toNanos() / NANOS_PER_MICRO));
    }
    return loads;
  }

  /** What became of loads and plans since this queue was created. */
  public LoadPlanCounts counts() {
    return new LoadPlanCounts(plannedCount, timedOutCount, staleCount, rejectedCount);
  }
}
