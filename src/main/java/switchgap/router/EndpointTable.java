package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
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
  private final List<WorkerEntry> byIndex = new ArrayList<>();
  private final List<Integer> freeIndices = new ArrayList<>();

  /** Time of the first list; a configuration may give it in several parts, all at one time. */
  private Duration firstListAt;

  EndpointTable(WorkerTransport transport) {
    this.transport = transport;
  }

  WorkerEntry get(int index) {
    return byIndex.get(index);
  }

  /** Whether the policy still knows a worker: its index may have been handed out again. */
  boolean isKnown(WorkerEntry worker) {
    WorkerEntry current =
        worker.index() == WorkerEntry.FORGOTTEN ? null : byIndex.get(worker.index());
    return current != null && current.name().equals(worker.name());
  }

  /**
   * Takes in a version of the list, or its changes, at a time since the router's start; tells the
   * policy.
   */
  void update(boolean complete, List<EndpointUpdate> updates, Duration now, PolicyEvents policy) {
    firstListAt = firstListAt == null ? now : firstListAt;
    policy.endpointListStarted(complete);
    Set<String> named = new HashSet<>();
    for (EndpointUpdate update : updates) {
      if (update.state() == WorkerState.GONE && !byName.containsKey(update.name())) {
        continue;
      }
      WorkerEntry worker = entryFor(update);
      named.add(update.name());
      accept(worker, update.state() == WorkerState.READY);
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
      byIndex.stream()
          .filter(worker -> worker != null && !named.contains(worker.name()))
          .forEach(worker -> accept(worker, false));
    }
    policy.endpointListEnded();
  }

  /**
   * Takes in a stated start, as far as it can be: wall clocks step, here and where it is stated. No
   * process starts in the future; one that was in none of the first lists has not been there since
   * before this router, and is cold as of now.
   */
  private void updateStart(WorkerEntry worker, Duration stated, Duration now) {
    if (stated == null || stated.equals(worker.listedStart())) {
      return;
    }
    boolean isFirstList = now.equals(firstListAt);
    boolean isPossible = stated.compareTo(now) <= 0 && (isFirstList || !stated.isNegative());
    worker.startListed(stated, isPossible ? stated : now);
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
    int index = known == null ? newIndex() : known.index();
    WorkerEntry worker = new WorkerEntry(update.name(), update.host(), update.port(), index);
    byName.put(worker.name(), worker);
    byIndex.set(index, worker);
    return worker;
  }

  private int newIndex() {
    if (!freeIndices.isEmpty()) {
      return freeIndices.remove(freeIndices.size() - 1);
    }
    byIndex.add(null);
    return byIndex.size() - 1;
  }

  private void accept(WorkerEntry worker, boolean accepting) {
    boolean stops = worker.isAccepting() && !accepting;
    if (accepting) {
      worker.startAccepting();
    } else {
      worker.stopAccepting();
    }
    if (stops) {
      transport.stopAccepting(worker, false);
    }
  }

  private void retire(WorkerEntry worker) {
    worker.stopAccepting();
    transport.stopAccepting(worker, true);
  }

  /** Forgets a worker that nothing refers to any more. */
  void release(int index) {
    WorkerEntry worker = byIndex.get(index);
    retire(worker);
    byName.remove(worker.name());
    worker.forget();
    byIndex.set(index, null);
    freeIndices.add(index);
  }
}
