package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.IndexAllocator;
import switchgap.testing.ReachableObjects;

/**
 * The module amid events drawn from a seed: ends of all kinds, late and early, lists that drain,
 * lose, renew and rename workers, clients that leave. Each decision is held against the five rules
 * as it is taken, and when all is over nothing may be left: no job, no worker's tally, no order
 * counted as out.
 */
class RoutingInvariantsTest implements PolicyActions {
  private static final AttemptOutcome[] ENDS = {
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FAILED,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.NOT_LOADED,
    AttemptOutcome.NOT_LOADED
  };
  private static final int WORKERS = 6;

  private static final class Job {
    final List<Integer> at = new ArrayList<>();
    final List<AttemptOutcome> ends = new ArrayList<>();
    int out;
    boolean closed;
    Duration limit;
    Duration first;
  }

  private final TestSettings settings = new TestSettings();
  private final IndexAllocator jobs = new IndexAllocator(),
      workers = new IndexAllocator(),
      functions = new IndexAllocator();
  private final TreeMap<Duration, List<Consumer<PolicyEvents>>> due = new TreeMap<>();
  private final Map<Integer, Job> open = new HashMap<>();
  private final Map<Long, WorkerState> standing = new HashMap<>();
  private final Map<Long, Duration> started = new HashMap<>();
  private final Map<Integer, ArrayDeque<Duration>> coldSends = new HashMap<>();
  private final ArrayDeque<Duration> holds = new ArrayDeque<>(), came = new ArrayDeque<>();
  private SplittableRandom draw = new SplittableRandom(1);
  private Duration now = Duration.ZERO;
  private RoutingPolicy policy;
  private int sends, repeats, held;
  private long next;

  private void later(long millis, Consumer<PolicyEvents> event) {
    due.computeIfAbsent(now.plus(millis(millis)), time -> new ArrayList<>()).add(event);
  }

  private void run(Duration until) {
    while (!due.isEmpty() && due.firstKey().compareTo(until) <= 0) {
      Map.Entry<Duration, List<Consumer<PolicyEvents>>> e = due.pollFirstEntry();
      now = e.getKey();
      policy.tick(now, events -> e.getValue().forEach(x -> x.accept(events)), this);
    }
  }

  private void job(PolicyEvents events, String function) {
    int j = jobs.allocate(next++);
    Job job = new Job();
    job.limit = now.plus(millis(200 + draw.nextInt(1800)));
    open.put(j, job);
    came.add(now);
    long mark = function.hashCode();
    events.requestArrived(
        new RequestArrival(j, 0, 0, functions.allocate(mark), mark, job.limit, null, 100, 2));
    if (draw.nextInt(40) == 0) {
      later(
          draw.nextInt(300),
          later -> {
            if (open.get(j) == job && !job.closed) {
              job.closed = true;
              later.clientLeft(j);
            }
          });
    }
  }

  private void list(PolicyEvents events, boolean whole) {
    events.endpointListStarted(whole);
    standing.forEach(
        (name, state) -> {
          if (state == WorkerState.GONE && workers.find(name) < 0) {
            return;
          }
          events.endpointListed(
              new EndpointEntry(
                  workers.allocate(name),
                  name,
                  state,
                  (int) (name % 2),
                  (int) (name % 3),
                  0,
                  1,
                  started.get(name)));
        });
    events.endpointListEnded();
  }

  private void change(PolicyEvents events) {
    long name = 1000L + draw.nextInt(WORKERS);
    WorkerState state = WorkerState.values()[draw.nextInt(3)];
    standing.put(name, state);
    if (state == WorkerState.READY && draw.nextBoolean()) {
      started.put(name, now.minus(millis(draw.nextInt(2000))));
    }
    list(events, draw.nextBoolean());
  }

  /**
   * So many seconds of jobs, each some milliseconds after the last, then quiet until all is over.
   */
  private void day(int seed, int seconds, int everyMillis, int changeMillis, int functions) {
    draw = new SplittableRandom(seed);
    if (policy == null) {
      policy = new RoutingPolicy(settings, seed);
    }
    later(
        0,
        events -> {
          for (long worker = 0; worker < WORKERS; worker++) {
            standing.putIfAbsent(1000 + worker, WorkerState.READY);
          }
          list(events, true);
        });
    for (long time = 1; time < seconds * 1000L; time += 1 + draw.nextInt(2 * everyMillis)) {
      String name = "f" + draw.nextInt(functions);
      later(time, events -> job(events, name));
    }
    for (long time = 3000; time < seconds * 1000L; time += 1 + draw.nextInt(2 * changeMillis)) {
      later(time, this::change);
    }
    Duration end = now.plus(millis(seconds * 1000L + 40_000));
    run(end.minus(millis(1000)));
    later(
        0,
        events -> {
          for (long worker = 0; worker < WORKERS; worker++) {
            standing.put(1000 + worker, WorkerState.READY);
          }
          list(events, true);
        });
    run(end);
  }

  private void nothingIsLeft() {
    assertThat(open).isEmpty();
    assertThat(jobs.size()).isZero();
    assertThat(functions.size()).isZero();
    assertThat(ReachableObjects.field(ReachableObjects.field(policy, "loader"), "pendingLoads"))
        .as("orders counted as out")
        .isEqualTo(0);
    for (Object w :
        (Iterable<?>) ReachableObjects.field(ReachableObjects.field(policy, "state"), "workers")) {
      for (String tally :
          new String[] {"inFlight", "waitingForLoad", "pendingCommands", "queuedAhead"}) {
        assertThat(ReachableObjects.field(w, tally)).as(tally).isEqualTo(0);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT,ALL,2,false",
    "IDEMPOTENT,ALL,2,true",
    "NON_IDEMPOTENT,ALL,2,false",
    "NON_IDEMPOTENT,ALL,200,true",
    "IDEMPOTENT_WITH_KEY,ZONE,2,false",
    "IDEMPOTENT_WITH_KEY,CELL,2,true",
    "IDEMPOTENT_WITH_KEY,ALL,200,false",
    "IDEMPOTENT,ALL,200,true"
  })
  void theRulesHoldAmidDrawnEvents(
      Idempotency repeat, DeduplicationScope group, int routers, boolean loads) {
    settings.idempotency = repeat;
    settings.deduplicationScope = group;
    settings.routerCount = routers;
    settings.loadsOnDemand = loads;
    settings.idleMemoryPrice = 0.05;
    settings.loadQuotaBase = 3;
    settings.loadQuotaPerRequest = 0.15;
    settings.loadQuotaWindow = millis(5000);
    for (int seed = 1; seed <= 6; seed++) {
      day(seed, 60, 15, 3000, 12);
      nothingIsLeft();
    }
    assertThat(sends).isGreaterThan(1500);
    assertThat(held).isGreaterThan(20);
    if (repeat != Idempotency.NON_IDEMPOTENT) {
      assertThat(repeats).isGreaterThan(100);
    }
  }

  /**
   * What is held after three days of jobs, functions and workers that come and go is what was held
   * after one.
   */
  @Test
  void nothingGrowsOverDays() {
    settings.loadQuotaBase = 3;
    settings.loadQuotaPerRequest = 0.15;
    settings.loadQuotaWindow = millis(5000);
    long[] after = new long[3];
    for (int d = 0; d < 3; d++) {
      day(d, 24 * 3600, 5000, 60_000, 40 + 40 * d);
      nothingIsLeft();
      after[d] = ReachableObjects.by(policy, this);
    }
    assertThat(after[2]).isLessThan(after[0] + 200);
  }

  // ---- decisions, each held against the rules

  @Override
  public void startAttempt(int job, int worker, Duration allow) {
    Job request = open.get(job);
    assertThat(request.closed).as("rule 1: sent after the answer").isFalse();
    assertThat(now.plus(allow))
        .as("rule 1: two ticks before the limit")
        .isLessThanOrEqualTo(request.limit.minus(millis(10)));
    ready(worker);
    boolean mayHaveRun =
        request.out > 0 || request.ends.stream().anyMatch(outcome -> !outcome.neverExecuted());
    if (settings.idempotency == Idempotency.NON_IDEMPOTENT) {
      assertThat(mayHaveRun).as("rule 2: run-once").isFalse();
    }
    if (settings.idempotency == Idempotency.IDEMPOTENT_WITH_KEY && mayHaveRun) {
      long a = workers.idOf(request.at.get(anchor(request)));
      long b = workers.idOf(worker);
      if (settings.deduplicationScope != DeduplicationScope.ALL) {
        assertThat(b % 2).as("rule 2: zone").isEqualTo(a % 2);
      }
      if (settings.deduplicationScope == DeduplicationScope.CELL) {
        assertThat(b % 3).as("rule 2: cell").isEqualTo(a % 3);
      }
      assertThat(now.minus(request.first)).as("rule 2: memory").isLessThan(millis(1000 - 10));
    }
    assertThat(request.out).as("one execution at a time").isZero();
    if (!mayHaveRun) {
      request.first = now;
    }
    cold(worker);
    int x = request.at.size();
    repeats += x > 0 ? 1 : 0;
    sends++;
    request.at.add(worker);
    request.ends.add(AttemptOutcome.TIMED_OUT); // until it is known better
    request.out++;
    AttemptOutcome end = ENDS[draw.nextInt(ENDS.length)];
    long took =
        end == AttemptOutcome.TIMED_OUT
            ? allow.toMillis()
            : Math.min(allow.toMillis(), 1 + draw.nextInt(120));
    later(
        took,
        events -> {
          request.ends.set(x, end);
          request.out--;
          if (end == AttemptOutcome.SUCCEEDED && !request.closed) {
            closed(request);
          }
          events.attemptEnded(
              new AttemptResult(
                  job,
                  x,
                  worker,
                  end,
                  millis(took),
                  request.closed,
                  LoadReport.ofConcurrency(draw.nextInt(4) - 1)));
        });
  }

  /** The first execution that may have run. */
  private static int anchor(Job request) {
    int i = 0;
    while (request.ends.get(i).neverExecuted()) {
      i++;
    }
    return i;
  }

  private void ready(int worker) {
    assertThat(standing.get(workers.idOf(worker))).as("rule 3").isEqualTo(WorkerState.READY);
  }

  /**
   * Far above what is due (DecideTest has that), so that only a guard that is gone is seen here.
   */
  private void cold(int worker) {
    Duration s = started.get(workers.idOf(worker));
    if (s == null || now.minus(s).compareTo(millis(10_000)) >= 0) {
      return;
    }
    ArrayDeque<Duration> sent = coldSends.computeIfAbsent(worker, w -> new ArrayDeque<>());
    sent.add(now);
    while (now.minus(sent.peek()).compareTo(millis(1000)) > 0) {
      sent.poll();
    }
    assertThat(sent.size()).as("rule 4").isLessThanOrEqualTo(25);
  }

  private void closed(Job request) {
    request.closed = true;
    assertThat(now).as("rule 1: before the limit").isLessThan(request.limit);
  }

  @Override
  public void reject(int job, Duration comeBack) {
    Job request = open.get(job);
    assertThat(request.closed).as("rule 1: answered twice").isFalse();
    boolean mayHaveRun =
        request.out > 0 || request.ends.stream().anyMatch(outcome -> !outcome.neverExecuted());
    assertThat(
            mayHaveRun
                && (settings.idempotency == Idempotency.NON_IDEMPOTENT
                    || (settings.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                        && settings.deduplicationScope != DeduplicationScope.ALL)))
        .as("rule 2: pushed back")
        .isFalse();
    closed(request);
  }

  @Override
  public void fail(int job) {
    Job request = open.get(job);
    assertThat(request.closed).as("rule 1: answered twice").isFalse();
    assertThat(
            request.out > 0 || request.ends.stream().anyMatch(outcome -> !outcome.neverExecuted()))
        .as("killed for nothing")
        .isTrue();
    closed(request);
  }

  @Override
  public void load(int worker, int function) {
    ready(worker);
    held++;
    holds.add(now);
    while (now.minus(holds.peek()).compareTo(settings.loadQuotaWindow) > 0) {
      holds.poll();
    }
    while (!came.isEmpty() && now.minus(came.peek()).compareTo(settings.loadQuotaWindow) > 0) {
      came.poll();
    }
    assertThat((double) holds.size())
        .as("rule 5")
        .isLessThanOrEqualTo(settings.loadQuotaBase + settings.loadQuotaPerRequest * came.size());
    commandEndsLater(worker, function);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    commandEndsLater(worker, function);
  }

  private void commandEndsLater(int worker, int function) {
    AttemptOutcome end =
        draw.nextInt(3) > 0
            ? AttemptOutcome.SUCCEEDED
            : draw.nextBoolean() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECTION_LOST;
    long took = end == AttemptOutcome.TIMED_OUT ? 10_000 : 5 + draw.nextInt(1500);
    later(
        took,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(
                    worker, function, end, millis(took), end == AttemptOutcome.SUCCEEDED ? 1 : 0)));
  }

  @Override
  public void cancelAttempt(int job, int execution) {}

  @Override
  public void unload(int worker, int function) {}

  @Override
  public void probe(int worker) {
    String name = String.valueOf(workers.idOf(worker));
    later(
        2,
        events -> {
          int w = workers.find(Long.parseLong(name));
          if (w >= 0) {
            events.probeEnded(
                new ProbeResult(
                    w, AttemptOutcome.SUCCEEDED, new LoadReport(0.3, draw.nextInt(5), 0, -1)));
          }
        });
  }

  @Override
  public void scheduleWakeUp(Duration after, long token) {
    due.computeIfAbsent(now.plus(after), time -> new ArrayList<>())
        .add(events -> events.wakeUp(token));
  }

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void releaseRequest(int job) {
    Job request = open.remove(job);
    assertThat(request.closed).isTrue();
    assertThat(request.out).isZero();
    jobs.release(job);
  }

  @Override
  public void releaseFunction(int function) {
    functions.release(function);
  }

  @Override
  public void releaseWorker(int worker) {
    started.remove(workers.idOf(worker));
    coldSends.remove(worker);
    workers.release(worker);
  }
}
