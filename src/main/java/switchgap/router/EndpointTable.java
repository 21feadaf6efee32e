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
 * The workers of the endpoint list by name and by index. Bounded by the list, which its codec
 * bounds, and by what is in flight at workers that are gone. Belongs to the event loop.
 */
final class EndpointTable {
  private final WorkerTransport transport;
  private final Map<String, WorkerEntry> byName = new HashMap<>();
  private final IndexedTable<WorkerEntry> byIndex = new IndexedTable<>();

  /**
   * Time of the first list, null before; a configuration may provide it in parts, all at one time.
   */
  private Duration firstListAt;

  EndpointTable(WorkerTransport transport) {
    this.transport = transport;
  }

  /** The worker of an index, null once it was released. */
  WorkerEntry get(int index) {
    return byIndex.get(index);
  }

  /** Whether the policy still knows a worker: its index may have been assigned again. */
  boolean isKnown(WorkerEntry worker) {
    WorkerEntry current =
        worker.index() == WorkerEntry.FORGOTTEN ? null : byIndex.get(worker.index());
    return current != null && current.name().equals(worker.name());
  }

  /** Applies a version of the list, complete or as its changes, and notifies the policy. */
  void update(boolean complete, List<EndpointUpdate> updates, Duration now, PolicyEvents policy) {
    firstListAt = firstListAt == null ? now : firstListAt;
    policy.endpointListStarted(complete);
    Set<String> listed = new HashSet<>();
    for (EndpointUpdate update : updates) {
      if (update.state() == WorkerState.GONE && !byName.containsKey(update.name())) {
        continue;
      }
      WorkerEntry worker = entryFor(update);
      listed.add(update.name());
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
      byIndex.stream().filter(worker -> !listed.contains(worker.name())).forEach(this::drain);
    }
    policy.endpointListEnded();
  }

  /**
   * Takes a listed start only as far as it is possible, as wall clocks step, here and where the
   * list is made. No process starts in the future, and one that was in none of the first lists did
   * not start before this router: it is warming up as of now.
   */
  private void updateStart(WorkerEntry worker, Duration listed, Duration now) {
    if (listed == null || listed.equals(worker.listedStart())) {
      return;
    }
    boolean isFirstList = now.equals(firstListAt);
    boolean isPossible = listed.compareTo(now) <= 0 && (isFirstList || !listed.isNegative());
    worker.startListed(listed, isPossible ? listed : now);
  }

  /**
   * A worker with another address is another process: whatever listens at the old one is not this
   * worker.
   */
  private WorkerEntry entryFor(EndpointUpdate update) {
    WorkerEntry known = byName.get(update.name());
    if (known != null && known.port() == update.port() && known.host().equals(update.host())) {
      return known;
    }
    if (known != null) {
      retire(known);
    }
    int index = known == null ? byIndex.add(null) : known.index();
    WorkerEntry worker = new WorkerEntry(update.name(), update.host(), update.port(), index);
    byName.put(worker.name(), worker);
    byIndex.set(index, worker);
    return worker;
  }

  /** Notifies the transport only of a worker that accepted until now. */
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

  /** Frees the index of a worker that nothing refers to any more. */
  void release(int index) {
    WorkerEntry worker = byIndex.get(index);
    retire(worker);
    byName.remove(worker.name());
    worker.forget();
    byIndex.set(index, null);
    byIndex.release(index);
  }
}
