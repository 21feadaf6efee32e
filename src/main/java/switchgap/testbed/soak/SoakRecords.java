package switchgap.testbed.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** What the emulators saw in one run. Thread-safe. */
final class SoakRecords {
  /** A span in which a router's process was in some state; {@code endNanos} is 0 while it lasts. */
  static final class Span {
    final int router;
    final long startNanos;
    volatile long endNanos;

    Span(int router, long startNanos) {
      this.router = router;
      this.startNanos = startNanos;
    }
  }

  /** A worker that the list names, with the times at which that changed. */
  static final class WorkerLife {
    final String name;

    /** Start of its process, 0 where it was there from the beginning. */
    final long startedNanos;

    /** When the list began to call it draining, 0 while it serves. */
    volatile long drainedNanos;

    WorkerLife(String name, long startedNanos) {
      this.name = name;
      this.startedNanos = startedNanos;
    }
  }

  final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
  final Queue<WorkerExecution> executions = new ConcurrentLinkedQueue<>();

  /** Times at which routers were stopped by SIGSTOP. */
  final List<Span> pauses = new CopyOnWriteArrayList<>();

  /** Times from SIGKILL until the next process was ready. */
  final List<Span> kills = new CopyOnWriteArrayList<>();

  /** Times at which a router could accept nothing. */
  final List<Span> acceptOutages = new CopyOnWriteArrayList<>();

  /** Times at which the event stream told nothing, or not in time. */
  final List<Span> feedOutages = new CopyOnWriteArrayList<>();

  final Map<String, WorkerLife> workers = new ConcurrentHashMap<>();

  /** Faults of the processes themselves: a crash, a refusal to start, a bound that was passed. */
  final Queue<String> processFaults = new ConcurrentLinkedQueue<>();
}
