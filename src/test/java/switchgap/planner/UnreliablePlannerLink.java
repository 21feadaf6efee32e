package switchgap.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A queue and a scheduler with a simulated connection between them, whose messages tests can lose,
 * repeat and delay. Each release of a load checks that the load has not been released before and
 * was not withdrawn.
 */
final class UnreliablePlannerLink implements PendingLoadQueue.Listener {
  /** Types of events. Random sequences refer to them by index, so their order must not change. */
  enum Event {
    /** The router requests a load. */
    LOAD_REQUESTED,
    /** The planner receives the next backlog. */
    BACKLOG_RECEIVED,
    /** The router receives the next plan. */
    PLAN_RECEIVED,
    /** The next plan is lost. */
    PLAN_LOST,
    /** The router receives the last plan again. */
    PLAN_REPEATED,
    /** A planner connects. */
    CONNECTED,
    /** The planner disconnects. */
    DISCONNECTED,
    /** Time passes until the oldest pending load times out. */
    TIMED_OUT,
    /** The planner restarts and loses its state. */
    PLANNER_RESTARTED,
    /** The router withdraws the load that it requested last. */
    LATEST_WITHDRAWN
  }

  private static final Duration TIMEOUT = Duration.ofMillis(60);
  private static final int CAPACITY = 4;

  final PendingLoadQueue queue = new PendingLoadQueue(TIMEOUT, CAPACITY, this);
  final List<Long> released = new ArrayList<>();
  final List<PlanRejection> rejections = new ArrayList<>();
  private final Set<Long> withdrawn = new HashSet<>();
  private final ArrayDeque<LoadBacklog> backlogs = new ArrayDeque<>();
  private final ArrayDeque<LoadPlan> plans = new ArrayDeque<>();
  private LoadScheduler scheduler = new LoadScheduler();
  private Duration now = Duration.ZERO;
  private LoadPlan lastPlan;
  private long epoch;
  private long sequence;

  @Override
  public void release(long id) {
    assertThat(released).as("loads released before").doesNotContain(id);
    assertThat(withdrawn).as("loads that the router withdrew").doesNotContain(id);
    released.add(id);
  }

  @Override
  public void planRejected(PlanRejection rejection) {
    rejections.add(rejection);
  }

  /** Executes one event. */
  void apply(Event event) {
    switch (event) {
      case LOAD_REQUESTED -> requestLoad();
      case BACKLOG_RECEIVED -> plannerReceivesBacklog();
      case PLAN_RECEIVED -> routerReceivesPlan();
      case PLAN_LOST -> plans.poll();
      case PLAN_REPEATED -> repeatLastPlan();
      case CONNECTED -> connect();
      case DISCONNECTED -> queue.plannerDisconnected();
      case TIMED_OUT -> advancePastTimeout();
      case PLANNER_RESTARTED -> scheduler = new LoadScheduler();
      case LATEST_WITHDRAWN -> withdrawLatest();
      default -> throw new IllegalArgumentException(event.name());
    }
  }

  void requestLoad() {
    queue.add(now, PendingLoadBuilder.load(queue.nextId()).loadMicros(1000).build());
    sendBacklog();
  }

  void connect() {
    epoch++;
    queue.plannerConnected(epoch);
    backlogs.clear();
    // Plans are kept: a plan of the previous connection may still be received.
    sequence = 0;
    sendBacklog();
  }

  private void sendBacklog() {
    if (queue.state() != PendingLoadQueue.State.ALONE) {
      sequence++;
      backlogs.add(new LoadBacklog(epoch, sequence, queue.pendingLoads(now, function -> 1)));
    }
  }

  void plannerReceivesBacklog() {
    LoadBacklog backlog = backlogs.poll();
    LoadPlan plan = backlog == null ? null : scheduler.plan(backlog);
    if (plan != null) {
      plans.add(plan);
    }
  }

  void plannerReceivesAllBacklogs() {
    while (!backlogs.isEmpty()) {
      plannerReceivesBacklog();
    }
  }

  private void routerReceivesPlan() {
    LoadPlan plan = plans.poll();
    if (plan != null) {
      queue.planReceived(plan);
      lastPlan = plan;
    }
  }

  void routerReceivesAllPlans() {
    while (!plans.isEmpty()) {
      routerReceivesPlan();
    }
  }

  private void repeatLastPlan() {
    if (lastPlan != null) {
      queue.planReceived(lastPlan);
    }
  }

  void advancePastTimeout() {
    now = now.plus(TIMEOUT).plusMillis(1);
    queue.releaseTimedOut(now);
  }

  private void withdrawLatest() {
    long id = queue.nextId() - 1;
    if (id >= 0 && queue.withdraw(id)) {
      withdrawn.add(id);
    }
  }

  /** Lets all pending loads time out, then asserts that each load was released or withdrawn. */
  void assertAllLoadsReleasedOrWithdrawn() {
    now = now.plusSeconds(1);
    queue.releaseTimedOut(now);
    for (long id = 0; id < queue.nextId(); id++) {
      assertThat(released.contains(id) || withdrawn.contains(id))
          .as("load released or withdrawn: " + id)
          .isTrue();
    }
  }
}
