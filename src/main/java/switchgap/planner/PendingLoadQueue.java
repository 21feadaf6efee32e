package switchgap.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Holds load commands in the router until a plan of the planner releases them or they time out.
 * Each load is released at most once. The router must work without the planner: if no planner is
 * connected, plans do not arrive in time or the queue is full, loads are released without a plan.
 * Not thread-safe; times are durations since the router's start.
 */
public final class PendingLoadQueue {
  /**
   * Whether the planner's plans decide when loads are released. A new connection or an accepted
   * plan changes the state to LED, successive timeouts change it from LED to STALLED, and a
   * disconnect changes it to ALONE. The names are part of the status response.
   */
  public enum State {
    /** No planner is connected: each load is released immediately. */
    ALONE,
    /** A planner is connected, and its plans decide when loads are released. */
    LED,
    /**
     * A planner is connected, but its plans did not arrive in time: each load is released
     * immediately until a plan is accepted.
     */
    STALLED
  }

  /** Receives the queue's decisions. It is called from within the queue's methods. */
  public interface Listener {
    /** Sends the load command with this id; called at most once for each id. */
    void release(long id);

    /** A plan, or one id in it, was rejected because the planner sent invalid data. */
    void planRejected(PlanRejection rejection);
  }

  private record Entry(PendingLoad load, Duration addedAt, Duration timeoutAt) {}

  /**
   * Number of loads that time out in succession, without an accepted plan in between, before the
   * state changes to STALLED.
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
   * Creates an empty queue without a planner.
   *
   * @param timeout time after which a load is released without a plan
   * @param capacity maximum number of pending loads; any further load is released immediately
   * @param listener receives the queue's decisions
   */
  public PendingLoadQueue(Duration timeout, int capacity, Listener listener) {
    this.timeout = timeout;
    this.capacity = capacity;
    this.listener = listener;
  }

  /** The current state, which says whether plans decide when loads are released. */
  public State state() {
    return state;
  }

  /** The epoch of the last connection of a planner; 0 before the first connection. */
  public long epoch() {
    return epoch;
  }

  /** The id that the next added load must have. */
  public long nextId() {
    return nextId;
  }

  /**
   * A planner has connected. Plans with another epoch are rejected from now on.
   *
   * @throws IllegalArgumentException if the epoch is not greater than all earlier ones
   */
  public void plannerConnected(long newEpoch) {
    if (newEpoch <= epoch) {
      throw new IllegalArgumentException(
          "epoch " + newEpoch + " is not greater than the last epoch " + epoch);
    }
    epoch = newEpoch;
    markResponsive(0);
  }

  /** The planner has disconnected: all pending loads are released in the order of their arrival. */
  public void plannerDisconnected() {
    state = State.ALONE;
    releaseAll();
  }

  /**
   * Adds a load. It is released immediately if no plans are expected or the queue is full.
   *
   * @throws IllegalArgumentException if the load's id is not {@link #nextId}
   */
  public void add(Duration now, PendingLoad load) {
    if (load.id() != nextId) {
      throw new IllegalArgumentException("load id is " + load.id() + ", expected " + nextId);
    }
    nextId++;
    entries.put(load.id(), new Entry(load, now, now.plus(timeout)));
    if (state != State.LED || entries.size() > capacity) {
      release(load.id());
    }
  }

  /**
   * Removes a pending load, so that it is never released.
   *
   * @return false if the load is no longer pending
   */
  public boolean withdraw(long id) {
    return entries.remove(id) != null;
  }

  /**
   * Releases the pending loads of a plan. Ids of loads that are no longer pending are counted as
   * stale. Ids that were never used, and plans with another epoch, are rejected.
   */
  public void planReceived(LoadPlan plan) {
    if (plan.epoch() != epoch || state == State.ALONE) {
      reject(PlanRejection.wrongEpoch(plan.epoch(), epoch));
      return;
    }
    if (plan.sequence() <= lastSequence) {
      // A later plan was received before this one, or this one was received twice.
      staleCount += plan.ids().length;
      return;
    }
    markResponsive(plan.sequence());
    for (long id : plan.ids()) {
      releasePlanned(id);
    }
  }

  /**
   * Changes the state to LED, because the planner is connected or has sent a plan.
   *
   * @param sequence sequence number of its last plan; 0 after a new connection
   */
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
   * @return the time at which the next load times out, or null if none is pending
   */
  public Duration releaseTimedOut(Duration now) {
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
   * Returns the pending loads with their ages and their functions' priority weights.
   *
   * @param priorityWeight returns the sum of the weights of the requests that wait for a function
   */
  public List<PendingLoad> pendingLoads(Duration now, ToDoubleFunction<String> priorityWeight) {
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

  /** What has happened to the loads and to the ids in plans since this queue was created. */
  public LoadPlanCounts counts() {
    return new LoadPlanCounts(plannedCount, timedOutCount, staleCount, rejectedCount);
  }
}
