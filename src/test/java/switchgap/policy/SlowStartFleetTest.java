package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;

/**
 * Rule 4 over a fleet in simulated time: what all routers together send to a worker that warms up
 * stays within N + 2 roots of N + 2 in any window (under 30: N + 3 roots of N + 3), whoever
 * restarts.
 */
class SlowStartFleetTest {
  private static final int STEP_MILLIS = 10;
  private static final int COLD = 30; // behind as many warm ones
  private static final int COLD_STARTS_AT = 4000;
  private static final int RESTART_AT = 6350;
  private static final int ENDS_AT = 14_000;
  private static final int WINDOW_MILLIS = 1000;
  private static final int FUNCTIONS = 12;

  private record Freed(int at, int worker) {}

  private record Event(int at, int router, int life, Consumer<PolicyEvents> told) {}

  private final List<Router> routers = new ArrayList<>();
  private final PriorityQueue<Event> due = new PriorityQueue<>(Comparator.comparingInt(Event::at));
  private final ArrayDeque<Freed> freed = new ArrayDeque<>();
  private final int[] inFlight = new int[COLD + 1];
  private final ArrayDeque<Integer> sendsInWindow = new ArrayDeque<>();
  private int workMillis;

  /** Requests a second that a warm worker bears. */
  private double fullRate;

  private int slots;
  private int now;
  private int sends;
  private double mostOfBudget;

  /** One router's process; a restarted one is another, with a clock of its own. */
  private final class Router implements PolicyActions {
    private final int index;
    private final int life;
    private final int startedAt;
    private final RoutingPolicy policy;
    private final List<Consumer<PolicyEvents>> events = new ArrayList<>();
    private int requests;

    Router(int index, int life, int count) {
      this.index = index;
      this.life = life;
      this.startedAt = now;
      TestSettings settings = new TestSettings();
      settings.routerCount = count;
      settings.routerIndex = index;
      settings.loadsOnDemand = true;
      policy = new RoutingPolicy(settings, index * 31L + life);
      events.add(told -> list(told, true));
    }

    private Duration at(int millis) {
      return Duration.ofMillis(millis - startedAt);
    }

    void list(PolicyEvents told, boolean complete) {
      told.endpointListStarted(complete);
      for (int worker = 0; worker < COLD; worker++) {
        list(told, worker, null);
      }
      if (now >= COLD_STARTS_AT) {
        list(told, COLD, at(COLD_STARTS_AT));
      }
      told.endpointListEnded();
    }

    private void list(PolicyEvents told, int worker, Duration start) {
      told.endpointListed(
          new EndpointEntry(worker, 1000 + worker, WorkerState.READY, 0, 0, 0, 1, start));
    }

    void arrive() {
      int request = requests++;
      int function = (request * 7 + index) % FUNCTIONS;
      events.add(
          told ->
              told.requestArrived(
                  new RequestArrival(
                      request, 0, 0, function, 50 + function, at(now + 2000), null, 100, 2)));
    }

    void tick() {
      List<Consumer<PolicyEvents>> batch = List.copyOf(events);
      events.clear();
      policy.tick(
          at(now),
          told -> {
            batch.forEach(event -> event.accept(told));
            told.wakeUp(Long.MAX_VALUE);
          },
          this);
    }

    private void later(int millis, Consumer<PolicyEvents> event) {
      due.add(new Event(now + millis, index, life, event));
    }

    private final List<Integer> attempts = new ArrayList<>();

    @Override
    public void startAttempt(int request, int worker, Duration timeout) {
      while (attempts.size() <= request) {
        attempts.add(0);
      }
      int attempt = attempts.get(request);
      attempts.set(request, attempt + 1);
      if (worker == COLD) {
        sentToCold();
      }
      boolean crowded = worker != COLD && inFlight[worker] >= slots;
      inFlight[worker] += crowded ? 0 : 1;
      AttemptOutcome outcome = crowded ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCEEDED;
      int took = crowded ? STEP_MILLIS : workMillis;
      if (!crowded) {
        freed.add(new Freed(now + took, worker));
      }
      later(
          took,
          told ->
              told.attemptEnded(
                  new AttemptResult(
                      request,
                      attempt,
                      worker,
                      outcome,
                      Duration.ofMillis(took),
                      outcome == AttemptOutcome.SUCCEEDED,
                      LoadReport.ofConcurrency(0))));
    }

    @Override
    public void load(int worker, int function) {
      queryReplicas(worker, function);
    }

    @Override
    public void queryReplicas(int worker, int function) {
      later(
          STEP_MILLIS,
          told ->
              told.loadCommandEnded(
                  new LoadCommandResult(
                      worker,
                      function,
                      AttemptOutcome.SUCCEEDED,
                      Duration.ofMillis(STEP_MILLIS),
                      1)));
    }

    @Override
    public void probe(int worker) {
      later(
          STEP_MILLIS,
          told ->
              told.probeEnded(new ProbeResult(worker, AttemptOutcome.SUCCEEDED, LoadReport.NONE)));
    }

    @Override
    public void cancelAttempt(int request, int attempt) {}

    @Override
    public void reject(int request, Duration retryAfter) {}

    @Override
    public void fail(int request) {}

    @Override
    public void unload(int worker, int function) {}

    @Override
    public void scheduleWakeUp(Duration delay, long token) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void releaseRequest(int request) {}

    @Override
    public void releaseFunction(int function) {}

    @Override
    public void releaseWorker(int worker) {}
  }

  /** Requests of mean work that the settings allow the cold worker in a window that ends now. */
  private double allowedNow() {
    TestSettings settings = new TestSettings();
    double age = (now - COLD_STARTS_AT) / (double) settings.warmUpDuration().toMillis();
    double share =
        settings.coldCapacityShare() + (1 - settings.coldCapacityShare()) * Math.min(1, age);
    return settings.coldOverloadMultiple() * share * WINDOW_MILLIS / 1000 * fullRate;
  }

  private void sentToCold() {
    sends++;
    sendsInWindow.addLast(now);
    while (sendsInWindow.peekFirst() <= now - WINDOW_MILLIS) {
      sendsInWindow.removeFirst();
    }
    double allowed = allowedNow();
    double slack = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    mostOfBudget = Math.max(mostOfBudget, sendsInWindow.size() / (allowed + slack));
  }

  private void play(int count, double requestsPerSecond, boolean restarts) {
    double owed = 0;
    for (now = 0; now < ENDS_AT; now += STEP_MILLIS) {
      for (int i = routers.size(); i < count; i++) {
        routers.add(new Router(i, 0, count));
      }
      boolean restartsNow = restarts && now == RESTART_AT;
      for (int i = 0; restartsNow && i < count; i++) {
        if (i % 10 < 7) {
          routers.set(i, new Router(i, 1, count));
        }
      }
      if (now == COLD_STARTS_AT) {
        routers.forEach(router -> router.events.add(told -> router.list(told, false)));
      }
      while (!freed.isEmpty() && freed.peekFirst().at <= now) {
        inFlight[freed.pollFirst().worker]--;
      }
      while (!due.isEmpty() && due.peek().at <= now) {
        Event event = due.poll();
        Router router = routers.get(event.router);
        if (router.life == event.life) {
          router.events.add(event.told);
        }
      }
      owed += requestsPerSecond * STEP_MILLIS / 1000;
      for (; owed >= 1; owed--) {
        routers.get((int) (owed * 7919 + now) % count).arrive();
      }
      routers.forEach(Router::tick);
    }
  }

  @ParameterizedTest(
      name = "{0} routers, requests of {1} ms, {2} at a time, load {3}, restarts {4}")
  @CsvSource({
    "1,100,4,3,true",
    "2,100,4,3,false",
    "5,300,2,3,true",
    "20,300,2,3,true",
    "60,100,4,0.8,false",
    "60,300,2,3,false",
    "100,100,4,0.8,true",
    "100,100,4,3,true",
    "100,300,2,3,false",
    "100,300,1,3,true",
    "100,100,1,3,false",
    "100,20,4,3,true"
  })
  void allTogetherStayWithinTheBudget(
      int count, int work, int slots, double load, boolean restarts) {
    this.slots = slots;
    workMillis = work;
    fullRate = slots * 1000.0 / work;
    play(count, load * COLD * fullRate, restarts);
    assertThat(sends).as("it is used at all").isGreaterThan(5);
    assertThat(mostOfBudget).as("of the budget, %d sends", sends).isLessThanOrEqualTo(1);
  }
}
