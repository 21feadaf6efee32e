package switchgap.testbed.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.testbed.soak.SoakRecords.Span;
import switchgap.testbed.soak.SoakRecords.WorkerLife;

/** Judges a run by the rules and terms, from what the emulators saw. */
final class SoakJudge {
  /** A rule that was broken, by which request or worker. */
  record Violation(Rule rule, String what) {
    @Override
    public String toString() {
      return rule + ": " + what;
    }
  }

  /** The rules and terms that are judged. */
  enum Rule {
    /** Each request that was read has one final answer in its time. */
    LOST,
    /** Nothing runs twice that must not. */
    DUPLICATE,
    /** Nothing new goes to a worker that drains or is gone. */
    DRAIN,
    /** A worker that warms up is not overrun. */
    FAILBACK,
    /** No attempt begins for a client that has gone. */
    CLIENT_GONE,
    /** The time passed on is at most what the client has left. */
    DEADLINE,
    /** An answer is one that a worker gave for the request, and comes once. */
    ANSWER,
    /** No process crashes, refuses to start or passes a bound. */
    PROCESS
  }

  private static final long MILLI = 1_000_000;

  /** The pages': an answer that is later by more is lost. */
  private static final long LATE_NANOS = 500 * MILLI;

  private static final long CLIENT_GONE_NANOS = 100 * MILLI;
  private static final long DEADLINE_SLACK_NANOS = 150 * MILLI;

  /** After a break, a silence or SIGHUP the list counts as told by then. */
  private static final long FEED_GRACE_NANOS = 4000 * MILLI;

  private static final long DRAIN_GRACE_NANOS = 500 * MILLI;

  /** What the emulators may see late on a machine that is shared with the routers. */
  private static final long MEASUREMENT_NANOS = 150 * MILLI;

  /** From a request's read to its write, or from the order to stop a process to its stop. */
  private static final long HANDLING_NANOS = 20 * MILLI;

  private static final long WARM_UP_NANOS = 4000 * MILLI;
  private static final long OVERLOAD_WINDOW_NANOS = 1000 * MILLI;
  private static final double OVERLOAD_MULTIPLE = 3;
  private static final double COLD_SHARE = 0.2;
  private static final int FEW_REQUESTS = 30;

  /** A worker bears one request after the other at the least: 20 ms each. */
  private static final double SERIAL_RATE = 50;

  private final SoakRecords records;
  private final Map<String, ClientRequest> requests = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  SoakJudge(SoakRecords records) {
    this.records = records;
  }

  /** All that was broken. */
  List<Violation> judge() {
    for (ClientRequest request : records.requests) {
      requests.putIfAbsent(request.id, request);
      judgeEnd(request);
    }
    Map<String, List<WorkerExecution>> byRequest = new HashMap<>();
    for (WorkerExecution execution : records.executions) {
      byRequest.computeIfAbsent(execution.requestId(), id -> new ArrayList<>()).add(execution);
      judgeExecution(execution);
    }
    byRequest.forEach(this::judgeRepeats);
    records.workers.values().forEach(this::judgeSlowStart);
    records.processFaults.forEach(what -> broken(Rule.PROCESS, what));
    return violations;
  }

  private void broken(Rule rule, String what) {
    violations.add(new Violation(rule, what));
  }

  private void judgeEnd(ClientRequest request) {
    String name = "request " + request.id + " at router " + request.router;
    if (request.replies > 1) {
      broken(Rule.ANSWER, name + " had " + request.replies + " answers");
    }
    if (!request.bodyMatches) {
      broken(Rule.ANSWER, name + " was served with another's body");
    }
    if (request.end == ClientRequest.End.LEFT || wasKilled(request)) {
      return;
    }
    if (request.end == ClientRequest.End.OPEN) {
      broken(Rule.LOST, name + " has no answer");
    } else if (request.end == ClientRequest.End.CUT_OFF) {
      if (request.again == null) {
        broken(
            Rule.LOST,
            name
                + " was cut off after "
                + millis(request.endedNanos - request.sentNanos)
                + " ms"
                + (request.firstOnConnection ? ", the first on its connection" : ""));
      }
    } else {
      long late =
          request.endedNanos
              - request.deadlineNanos()
              - overlap(records.pauses, request.router, request.sentNanos, request.endedNanos)
              - overlap(
                  records.acceptOutages, request.router, request.sentNanos, request.endedNanos);
      if (late > LATE_NANOS + MEASUREMENT_NANOS) {
        broken(Rule.LOST, name + " was answered " + millis(late) + " ms late");
      }
    }
  }

  private boolean wasKilled(ClientRequest request) {
    for (Span kill : records.kills) {
      boolean after =
          request.endedNanos == 0 || request.endedNanos >= kill.startNanos - MEASUREMENT_NANOS;
      boolean before = kill.endNanos == 0 || request.sentNanos <= kill.endNanos;
      if (kill.router == request.router
          && after
          && before
          && request.end != ClientRequest.End.SERVED) {
        return true;
      }
    }
    return false;
  }

  private void judgeExecution(WorkerExecution execution) {
    ClientRequest request = requests.get(execution.requestId());
    if (request == null) {
      return; // of a flood
    }
    String name =
        "request "
            + request.id
            + " of router "
            + request.router
            + " at worker "
            + execution.worker();
    long gone = request.leftNanos;
    if (gone != 0 && execution.receivedNanos() - gone > CLIENT_GONE_NANOS + MEASUREMENT_NANOS) {
      broken(
          Rule.CLIENT_GONE,
          name
              + " begun "
              + millis(execution.receivedNanos() - gone)
              + " ms after its client left");
    }
    long left = request.deadlineNanos() - execution.receivedNanos();
    long passedOn = execution.maxMillis() * MILLI;
    long slack = DEADLINE_SLACK_NANOS + MEASUREMENT_NANOS + pausedWhileSent(request);
    if (request.again == null && passedOn - left > slack) {
      broken(
          Rule.DEADLINE,
          name
              + " had "
              + execution.maxMillis()
              + " ms, its client "
              + millis(left)
              + ", sent "
              + millis(execution.receivedNanos() - request.sentNanos)
              + " ms before, paused "
              + millis(
                  overlap(
                      records.pauses,
                      request.router,
                      request.sentNanos,
                      execution.receivedNanos())));
    }
    judgeDrain(execution, request, name);
  }

  /** A pause that begins between a command's encoding and its write is met by no program. */
  private long pausedWhileSent(ClientRequest request) {
    long paused = 0;
    for (Span pause : records.pauses) {
      long before = pause.startNanos - request.sentNanos;
      if (pause.router == request.router && Math.abs(before) < HANDLING_NANOS) {
        paused += pause.endNanos - pause.startNanos;
      }
    }
    return paused;
  }

  private void judgeDrain(WorkerExecution execution, ClientRequest request, String name) {
    long drained = records.workers.get(execution.worker()).drainedNanos;
    long since = execution.receivedNanos() - drained;
    long grace =
        DRAIN_GRACE_NANOS
            + MEASUREMENT_NANOS
            + overlap(records.pauses, request.router, drained, execution.receivedNanos());
    if (drained == 0 || since <= grace) {
      return;
    }
    boolean troubled =
        records.feedOutages.stream()
            .anyMatch(
                outage ->
                    drained >= outage.startNanos - MEASUREMENT_NANOS
                        && (outage.endNanos == 0
                            || drained <= outage.endNanos + MEASUREMENT_NANOS));
    if (since > grace + (troubled ? FEED_GRACE_NANOS : 0)) {
      broken(Rule.DRAIN, name + " begun " + millis(since) + " ms after it began to drain");
    }
  }

  private void judgeRepeats(String id, List<WorkerExecution> executions) {
    ClientRequest request = requests.get(id);
    long ran = executions.stream().filter(WorkerExecution::executed).count();
    if (request != null && !request.idempotent && request.again == null && ran > 1) {
      broken(Rule.DUPLICATE, "request " + id + " ran " + ran + " times and must not be repeated");
    }
  }

  private void judgeSlowStart(WorkerLife worker) {
    if (worker.startedNanos == 0) {
      return;
    }
    long[] times =
        records.executions.stream()
            .filter(each -> each.worker().equals(worker.name))
            .mapToLong(each -> each.receivedNanos() - worker.startedNanos)
            .filter(age -> age < WARM_UP_NANOS)
            .sorted()
            .toArray();
    ArrayDeque<Long> window = new ArrayDeque<>();
    double worst = 0;
    for (long time : times) {
      window.addLast(time);
      while (window.peekFirst() <= time - OVERLOAD_WINDOW_NANOS) {
        window.removeFirst();
      }
      worst = Math.max(worst, window.size() / budget(time));
    }
    if (worst > 1) {
      broken(
          Rule.FAILBACK,
          String.format("worker %s had %.2f of its budget while it warmed up", worker.name, worst));
    }
  }

  private double budget(long ageNanos) {
    double share = COLD_SHARE + (1 - COLD_SHARE) * Math.min(1, (double) ageNanos / WARM_UP_NANOS);
    double requests = OVERLOAD_MULTIPLE * share * Math.max(SERIAL_RATE, warmRate());
    double root = Math.sqrt(requests);
    return requests + (requests < FEW_REQUESTS ? 3 * root + 3 : 2 * root + 2);
  }

  /** Requests a second that a warm worker had in the mean. */
  private double warmRate() {
    long[] times =
        records.executions.stream()
            .filter(each -> records.workers.get(each.worker()).startedNanos == 0)
            .mapToLong(WorkerExecution::receivedNanos)
            .toArray();
    long warm = records.workers.values().stream().filter(each -> each.startedNanos == 0).count();
    long span = Arrays.stream(times).max().orElse(0) - Arrays.stream(times).min().orElse(0);
    return span == 0 ? 0 : times.length * 1e9 / span / Math.max(1, warm);
  }

  private static long overlap(List<Span> spans, int router, long from, long until) {
    long total = 0;
    for (Span span : spans) {
      if (span.router == router) {
        long end = span.endNanos == 0 ? until : span.endNanos;
        total += Math.max(0, Math.min(end, until) - Math.max(span.startNanos, from));
      }
    }
    return total;
  }

  private static long millis(long nanos) {
    return nanos / MILLI;
  }
}
