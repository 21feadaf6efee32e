package switchgap.testbed.soak;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** Observations of the emulators in one run. Thread-safe; returned collections are live views. */
final class SoakRecords {
  private final Queue<ObservedRequest> requests = new ConcurrentLinkedQueue<>();
  private final Queue<ReceivedLoad> loads = new ConcurrentLinkedQueue<>();
  private final Queue<ReceivedAttempt> attempts = new ConcurrentLinkedQueue<>();
  private final Map<OutageCause, List<Outage>> outages = new EnumMap<>(OutageCause.class);
  private final Map<String, WorkerTimeline> workers = new ConcurrentHashMap<>();
  private final Queue<String> processFaults = new ConcurrentLinkedQueue<>();

  SoakRecords() {
    for (OutageCause cause : OutageCause.values()) {
      outages.put(cause, new CopyOnWriteArrayList<>());
    }
  }

  void addRequest(ObservedRequest request) {
    requests.add(request);
  }

  void addAttempt(ReceivedAttempt attempt) {
    attempts.add(attempt);
  }

  void addLoad(ReceivedLoad load) {
    loads.add(load);
  }

  /** Load commands in the order in which they were received. */
  Collection<ReceivedLoad> loads() {
    return Collections.unmodifiableCollection(loads);
  }

  /** Records the start of an outage; the caller ends it by {@link Outage#end}. */
  Outage beginOutage(OutageCause cause, int router, long nowNanos) {
    Outage outage = new Outage(router, nowNanos);
    outages.get(cause).add(outage);
    return outage;
  }

  /** Adds a worker under its name, which must be unique within the run. */
  void addWorker(WorkerTimeline worker) {
    workers.put(worker.name(), worker);
  }

  /** Records that a process crashed, failed to start or stop, or exceeded a limit. */
  void addProcessFault(String description) {
    processFaults.add(description);
  }

  /** Requests in the order in which they were sent. */
  Collection<ObservedRequest> requests() {
    return Collections.unmodifiableCollection(requests);
  }

  /** Attempts in the order in which they were received. */
  Collection<ReceivedAttempt> attempts() {
    return Collections.unmodifiableCollection(attempts);
  }

  List<Outage> outages(OutageCause cause) {
    return Collections.unmodifiableList(outages.get(cause));
  }

  /** Sum of the durations of a router's outages of one cause within an interval. */
  long outageNanos(OutageCause cause, int router, long fromNanos, long untilNanos) {
    return outages.get(cause).stream()
        .filter(outage -> outage.affects(router))
        .mapToLong(outage -> outage.overlapNanos(fromNanos, untilNanos))
        .sum();
  }

  /** All workers, including those that are gone. */
  Collection<WorkerTimeline> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the worker of the given name in the records; null if there is none. */
  WorkerTimeline worker(String name) {
    return workers.get(name);
  }

  Collection<String> processFaults() {
    return Collections.unmodifiableCollection(processFaults);
  }
}
