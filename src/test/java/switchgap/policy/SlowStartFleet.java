package switchgap.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;

/** Simulates many routers, a fleet of warm workers and one worker that starts later. */
final class SlowStartFleet {
  private static final int STEP_MILLIS = 10;

  /** Index of the new worker, and the number of warm workers before it. */
  private static final int NEW_WORKER = 30;

  private static final int NEW_WORKER_START_MILLIS = 4000;
  private static final int ROUTER_RESTART_MILLIS = 6350;
  private static final int END_MILLIS = 14_000;
  private static final int FUNCTIONS = 12;

  private record Completion(int timeMillis, int worker) {}

  private record Event(int timeMillis, int router, int incarnation, Consumer<PolicyEvents> event) {}

  private final List<Router> routers = new ArrayList<>();
  private final PriorityQueue<Event> scheduledEvents =
      new PriorityQueue<>(Comparator.comparingInt(Event::timeMillis));
  private final ArrayDeque<Completion> completions = new ArrayDeque<>();
  private final int[] inFlight = new int[NEW_WORKER + 1];
  private final int workMillis;
  private final int slots;

  /** Rate of one warm worker in requests/s. */
  private final double fullRate;

  private final SlowStartBudget budget;
  private int nowMillis;

  /** Each worker executes up to {@code slots} requests at a time, each for {@code workMillis}. */
  SlowStartFleet(int routerCount, int workMillis, int slots) {
    this.workMillis = workMillis;
    this.slots = slots;
    fullRate = slots * 1000.0 / workMillis;
    budget = new SlowStartBudget(fullRate);
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(i, 0, routerCount));
    }
  }

  SlowStartBudget budget() {
    return budget;
  }

  /** The process of one router. A restarted router is a new instance, whose time starts at zero. */
  private final class Router extends NoActions {
    private final int index;
    private final int incarnation;
    private final int startedAtMillis;
    private final RoutingPolicy policy;
    private final List<Consumer<PolicyEvents>> pendingEvents = new ArrayList<>();
    private int requestCount;

    Router(int index, int incarnation, int count) {
      this.index = index;
      this.incarnation = incarnation;
      this.startedAtMillis = nowMillis;
      TestSettings settings = new TestSettings();
      settings.routerCount = count;
      settings.routerIndex = index;
      settings.loadsOnDemand = true;
      policy = new RoutingPolicy(settings, index * 31L + incarnation);
      pendingEvents.add(target -> list(target, true));
    }

    private Duration sinceStart(int millis) {
      return Duration.ofMillis(millis - startedAtMillis);
    }

    void list(PolicyEvents target, boolean complete) {
      target.endpointListStarted(complete);
      for (int worker = 0; worker < NEW_WORKER; worker++) {
        list(target, worker, null);
      }
      if (nowMillis >= NEW_WORKER_START_MILLIS) {
        list(target, NEW_WORKER, sinceStart(NEW_WORKER_START_MILLIS));
      }
      target.endpointListEnded();
    }

    private void list(PolicyEvents target, int worker, Duration start) {
      target.endpointListed(
          new EndpointEntry(worker, 1000 + worker, WorkerState.READY, 0, 0, 0, 1, start));
    }

    void arrive() {
      int request = requestCount++;
      int function = (request * 7 + index) % FUNCTIONS;
      pendingEvents.add(
          target ->
              target.requestArrived(
                  new RequestArrival(
                      request,
                      0,
                      0,
                      function,
                      50 + function,
                      sinceStart(nowMillis + 2000),
                      null,
                      100,
                      2)));
    }

    void tick() {
      List<Consumer<PolicyEvents>> batch = List.copyOf(pendingEvents);
      pendingEvents.clear();
      policy.tick(
          sinceStart(nowMillis),
          target -> {
            batch.forEach(event -> event.accept(target));
            target.wakeUp(Long.MAX_VALUE);
          },
          this);
    }

    private void schedule(int delayMillis, Consumer<PolicyEvents> event) {
      scheduledEvents.add(new Event(nowMillis + delayMillis, index, incarnation, event));
    }

    private final List<Integer> attemptCounts = new ArrayList<>();

    @Override
    public void startAttempt(int request, int worker, Duration timeout) {
      while (attemptCounts.size() <= request) {
        attemptCounts.add(0);
      }
      int attempt = attemptCounts.get(request);
      attemptCounts.set(request, attempt + 1);
      if (worker == NEW_WORKER) {
        budget.attemptSent(nowMillis - NEW_WORKER_START_MILLIS);
      }
      boolean saturated = worker != NEW_WORKER && inFlight[worker] >= slots;
      inFlight[worker] += saturated ? 0 : 1;
      AttemptOutcome outcome = saturated ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCEEDED;
      int durationMillis = saturated ? STEP_MILLIS : workMillis;
      if (!saturated) {
        completions.add(new Completion(nowMillis + durationMillis, worker));
      }
      schedule(
          durationMillis,
          target ->
              target.attemptEnded(
                  new AttemptResult(
                      request,
                      attempt,
                      worker,
                      outcome,
                      Duration.ofMillis(durationMillis),
                      outcome == AttemptOutcome.SUCCEEDED,
                      LoadReport.ofConcurrency(0))));
    }

    @Override
    public void load(int worker, int function) {
      queryReplicas(worker, function);
    }

    @Override
    public void queryReplicas(int worker, int function) {
      schedule(
          STEP_MILLIS,
          target ->
              target.loadCommandEnded(
                  new LoadCommandResult(
                      worker,
                      function,
                      AttemptOutcome.SUCCEEDED,
                      Duration.ofMillis(STEP_MILLIS),
                      1)));
    }

    @Override
    public void probe(int worker) {
      schedule(
          STEP_MILLIS,
          target ->
              target.probeEnded(
                  new ProbeResult(worker, AttemptOutcome.SUCCEEDED, LoadReport.NONE)));
    }
  }

  /**
   * Runs the simulation. The request rate is {@code load} times the full rate of all warm workers.
   * If {@code restarts} is true, 7 in 10 routers restart while the new worker is warming up.
   */
  void run(double load, boolean restarts) {
    double requestsPerSecond = load * NEW_WORKER * fullRate;
    double dueRequests = 0;
    for (nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
      if (restarts && nowMillis == ROUTER_RESTART_MILLIS) {
        restartRouters();
      }
      if (nowMillis == NEW_WORKER_START_MILLIS) {
        routers.forEach(router -> router.pendingEvents.add(target -> router.list(target, false)));
      }
      completeAttempts();
      deliverEvents();
      dueRequests += requestsPerSecond * STEP_MILLIS / 1000;
      for (; dueRequests >= 1; dueRequests--) {
        routers.get((int) (dueRequests * 7919 + nowMillis) % routers.size()).arrive();
      }
      routers.forEach(Router::tick);
    }
  }

  private void restartRouters() {
    for (int i = 0; i < routers.size(); i++) {
      if (i % 10 < 7) {
        routers.set(i, new Router(i, 1, routers.size()));
      }
    }
  }

  private void completeAttempts() {
    while (!completions.isEmpty() && completions.peekFirst().timeMillis <= nowMillis) {
      inFlight[completions.pollFirst().worker]--;
    }
  }

  /** Delivers the events that are due; those for an earlier process of a router are lost. */
  private void deliverEvents() {
    while (!scheduledEvents.isEmpty() && scheduledEvents.peek().timeMillis <= nowMillis) {
      Event event = scheduledEvents.poll();
      Router router = routers.get(event.router);
      if (router.incarnation == event.incarnation) {
        router.pendingEvents.add(event.event);
      }
    }
  }
}
