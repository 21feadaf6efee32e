package switchgap.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;

/**
 * The workers of the endpoint list, by name and by index. Its size is bounded by the list, whose
 * length the decoder limits, and by workers that are gone but still have attempts or commands in
 * flight. Confined to the event loop thread.
 */
final class EndpointTable {
  private final WorkerTransport transport;
  private final Map<String, WorkerEntry> byName = new HashMap<>();
  private final IndexAllocatingTable<WorkerEntry> byIndex = new IndexAllocatingTable<>();

  /**
   * Time of the first endpoint list, or null before it. A configuration may deliver the first list
   * as several updates, which all have the same time.
   */
  private Duration firstListAt;

  EndpointTable(WorkerTransport transport) {
    this.transport = transport;
  }

  /** The worker with an index; null after the index is released. */
  WorkerEntry get(int index) {
    return byIndex.get(index);
  }

  /**
   * Whether the policy still tracks this worker. The index may have been reassigned to another
   * worker.
   */
  boolean isTracked(WorkerEntry worker) {
    WorkerEntry current =
        worker.index() == WorkerEntry.NO_INDEX ? null : byIndex.get(worker.index());
    return current != null && current.name().equals(worker.name());
  }

  /**
   * Applies a new version of the list, either complete or as changes to the previous version, and
   * notifies the policy.
   */
  void update(boolean complete, List<EndpointUpdate> updates, Duration now, PolicyEvents policy) {
    firstListAt = firstListAt == null ? now : firstListAt;
    policy.endpointListStarted(complete);
    Set<String> listedNames = new HashSet<>();
    for (EndpointUpdate update : updates) {
      if (update.state() == WorkerState.GONE && !byName.containsKey(update.name())) {
        continue;
      }
      WorkerEntry worker = entryFor(update);
      listedNames.add(update.name());
      if (update.state() == WorkerState.READY) {
        worker.startAccepting();
      } else {
        drain(worker);
      }
      updateStart(worker, update.startedAt(), now);
      policy.endpointListed(
          new EndpointEntry(
              worker.index(),
              NameIndex.hash(update.name()),
              update.state(),
              update.zone(),
              update.cell(),
              update.kind(),
              update.capacity(),
              worker.startedAt()));
    }
    if (complete) {
      byIndex.stream().filter(worker -> !listedNames.contains(worker.name())).forEach(this::drain);
    }
    policy.endpointListEnded();
  }

  /**
   * Validates the listed start time of a worker's process, because the wall clocks of this router
   * and of the service that generates the list may step. A start time in the future is impossible.
   * So is a start time before this router's start for a worker that was not in the first list. In
   * both cases the worker is treated as started now, so that slow start applies.
   */
  private void updateStart(WorkerEntry worker, Duration listedStart, Duration now) {
    if (listedStart == null || listedStart.equals(worker.listedStart())) {
      return;
    }
    boolean isFirstList = now.equals(firstListAt);
    boolean isPlausible =
        listedStart.compareTo(now) <= 0 && (isFirstList || !listedStart.isNegative());
    worker.setStartTimes(listedStart, isPlausible ? listedStart : now);
  }

  /**
   * Returns the worker of an update. A worker whose address changed is a new process, so its
   * previous entry is retired: any process at the old address is not this worker.
   */
  private WorkerEntry entryFor(EndpointUpdate update) {
    WorkerEntry existing = byName.get(update.name());
    if (existing != null
        && existing.port() == update.port()
        && existing.host().equals(update.host())) {
      return existing;
    }
    if (existing != null) {
      retire(existing);
    }
    int index = existing == null ? byIndex.add(null) : existing.index();
    WorkerEntry worker = new WorkerEntry(update.name(), update.host(), update.port(), index);
    byName.put(worker.name(), worker);
    byIndex.set(index, worker);
    return worker;
  }

  /** Drains a worker; the transport is notified only if the worker was accepting. */
  private void drain(WorkerEntry worker) {
    if (worker.isAccepting()) {
      worker.stopAccepting();
      transport.stopAccepting(worker, false);
    }
  }

  private void retire(WorkerEntry worker) {
    worker.stopAccepting();
    transport.stopAccepting(worker, true);
  }

  /** Frees the index of a worker that is no longer referenced. */
  void release(int index) {
    WorkerEntry worker = byIndex.get(index);
    retire(worker);
    byName.remove(worker.name());
    worker.clearIndex();
    byIndex.set(index, null);
    byIndex.release(index);
  }
}
