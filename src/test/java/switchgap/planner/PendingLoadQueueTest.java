package switchgap.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Pending loads with and without a planner; and all sequences of loss, restart and repetition up to
 * a length.
 */
class PendingLoadQueueTest {
  /** What may happen; random sequences are drawn by index. */
  private enum Event {
    /** The router requests a load. */
    LOAD_REQUESTED,
    /** The planner receives the next backlog. */
    BACKLOG_RECEIVED,
    /** The edge receives the next plan. */
    PLAN_RECEIVED,
    /** The next plan is lost. */
    PLAN_LOST,
    /** The edge receives the last plan once more. */
    PLAN_REPEATED,
    /** A planner connects. */
    CONNECTED,
    /** The planner disconnects. */
    DISCONNECTED,
    /** Time passes until the oldest pending load times out. */
    TIMED_OUT,
    /** The planner loses its state. */
    PLANNER_RESTARTED,
    /** The router withdraws its latest load. */
    LATEST_WITHDRAWN
  }

  /** Edge and planner with a connection between them that a test breaks as it likes. */
  private static final class TestBed implements PendingLoadQueue.Listener {
    final PendingLoadQueue queue = new PendingLoadQueue(Duration.ofMillis(60), 4, this);
    final List<Long> released = new ArrayList<>();
    final Set<Long> withdrawn = new HashSet<>();
    final List<PlanRejection> rejections = new ArrayList<>();
    final ArrayDeque<LoadBacklog> backlogs = new ArrayDeque<>();
    final ArrayDeque<LoadPlan> plans = new ArrayDeque<>();
    LoadScheduler planner = new LoadScheduler();
    Duration now = Duration.ZERO;
    LoadPlan lastPlan;
    long epoch;
    long sequence;

    @Override
    public void release(long id) {
      assertThat(released).doesNotContain(id); // no load twice
      assertThat(withdrawn).doesNotContain(id); // none that the router has withdrawn
      released.add(id);
    }

    @Override
    public void planRejected(PlanRejection rejection) {
      rejections.add(rejection);
    }

    PendingLoad load(double priorityWeight, long loadMicros) {
      return new PendingLoad(queue.nextId(), "w", "f", 1, loadMicros, priorityWeight, 0);
    }

    void requestLoad() {
      queue.add(now, load(0, 1000));
      sendBacklog();
    }

    void sendBacklog() {
      if (queue.state() != PendingLoadQueue.State.ALONE) {
        backlogs.add(new LoadBacklog(epoch, ++sequence, queue.waiting(now, function -> 1)));
      }
    }

    void connect() {
      queue.connected(++epoch);
      backlogs.clear(); // plans stay: a plan of the connection before may still come
      sequence = 0;
      sendBacklog();
    }

    void plannerReceives() {
      LoadBacklog backlog = backlogs.poll();
      LoadPlan plan = backlog == null ? null : planner.plan(backlog);
      if (plan != null) {
        plans.add(plan);
      }
    }

    void edgeReceives() {
      LoadPlan plan = plans.poll();
      if (plan == null) {
        return;
      }
      queue.planReceived(plan);
      lastPlan = plan;
    }

    void step(Event event) {
      switch (event) {
        case LOAD_REQUESTED -> requestLoad();
        case BACKLOG_RECEIVED -> plannerReceives();
        case PLAN_RECEIVED -> edgeReceives();
        case PLAN_LOST -> plans.poll();
        case PLAN_REPEATED -> {
          if (lastPlan != null) {
            queue.planReceived(lastPlan);
          }
        }
        case CONNECTED -> connect();
        case DISCONNECTED -> queue.disconnected();
        case TIMED_OUT -> {
          now = now.plusMillis(61);
          queue.tick(now);
        }
        case PLANNER_RESTARTED -> planner = new LoadScheduler();
        case LATEST_WITHDRAWN -> withdrawLatest();
      }
    }

    private void withdrawLatest() {
      long id = queue.nextId() - 1;
      if (id >= 0 && queue.withdraw(id)) {
        withdrawn.add(id);
      }
    }

    /** Once all have timed out, none may be left pending. */
    void assertNoneIsLeftPending() {
      now = now.plusSeconds(1);
      queue.tick(now);
      for (long id = 0; id < queue.nextId(); id++) {
        assertThat(released.contains(id) || withdrawn.contains(id)).isTrue();
      }
    }
  }

  private long explored;

  private void explore(Event[] events, int depth) {
    TestBed bed = new TestBed();
    for (int i = 0; i < depth; i++) {
      bed.step(events[i]);
    }
    bed.assertNoneIsLeftPending();
    explored++;
    if (depth == events.length) {
      return;
    }
    for (Event event : Event.values()) {
      events[depth] = event;
      explore(events, depth + 1);
    }
  }

  @Test
  void inAllSequencesOfFiveEventsEachLoadIsReleasedOnce() {
    explore(new Event[5], 0);
    assertThat(explored).isEqualTo(111_111);
  }

  /** Long random sequences, where the exhaustive ones are short. */
  @Property(tries = 2000, seed = "7")
  void inLongSequencesToo(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 9) Integer> events) {
    TestBed bed = new TestBed();
    events.forEach(index -> bed.step(Event.values()[index]));
    bed.assertNoneIsLeftPending();
    // a correct planner is rejected for nothing else
    assertThat(bed.rejections)
        .allMatch(rejection -> rejection.reason() == PlanRejection.Reason.WRONG_EPOCH);
  }

  @Test
  void withoutAPlannerLoadsAreReleasedAtOnce() {
    TestBed bed = new TestBed();
    bed.requestLoad();
    bed.requestLoad();
    assertThat(bed.released).containsExactly(0L, 1L);
  }

  @Test
  void theLoadWithTheMostWaitingWeightASecondGoesFirst() {
    LoadScheduler scheduler = new LoadScheduler();
    List<PendingLoad> waiting = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      waiting.add(
          new PendingLoad(i, "w", "f" + i, 1, i == 11 ? 100_000 : 1_000_000, i == 5 ? 50 : 1, 0));
    }
    LoadPlan plan = scheduler.plan(new LoadBacklog(1, 1, waiting));
    // most weight, then the short one, then the first requested
    assertThat(plan.ids()).startsWith(5, 11, 0);
    assertThat(plan.ids()).hasSize(12); // how many are in flight the edge's router decides
    assertThat(scheduler.plan(new LoadBacklog(1, 1, waiting))).isNull(); // not newer
  }

  @Test
  void aLoadThatHasWaitedLongPassesOneOfMoreWeight() {
    LoadScheduler scheduler = new LoadScheduler();
    LoadPlan plan =
        scheduler.plan(
            new LoadBacklog(
                1,
                1,
                List.of(
                    new PendingLoad(0, "w", "new", 1, 1000, 5, 0),
                    new PendingLoad(1, "w", "old", 1, 1000, 1, 6_000_000))));
    assertThat(plan.ids()).containsExactly(1, 0);
  }

  // A planner that was stopped resumes with old plans: what they name was released, and is not
  // again.
  @Test
  void stalePlansReleaseNothingAgain() {
    TestBed bed = new TestBed();
    bed.connect();
    bed.requestLoad();
    bed.plannerReceives();
    bed.plannerReceives();
    for (int i = 0; i < 3; i++) {
      bed.step(Event.TIMED_OUT);
      bed.requestLoad();
    }
    assertThat(bed.released).contains(0L, 1L);
    while (!bed.plans.isEmpty()) {
      bed.edgeReceives();
    }
    assertThat(bed.queue.counts().stale()).isPositive();
    assertThat(bed.released).doesNotHaveDuplicates();
  }

  @Test
  void aStalledPlannerIsBypassedUntilAPlanComes() {
    TestBed bed = new TestBed();
    bed.connect();
    for (int i = 0; i < 3; i++) {
      bed.requestLoad();
      bed.step(Event.TIMED_OUT);
    }
    assertThat(bed.queue.state()).isEqualTo(PendingLoadQueue.State.STALLED);
    bed.requestLoad();
    assertThat(bed.released).hasSize(4); // released at once
    bed.plannerReceives();
    while (!bed.backlogs.isEmpty()) {
      bed.plannerReceives();
    }
    while (!bed.plans.isEmpty()) {
      bed.edgeReceives();
    }
    assertThat(bed.queue.state()).isEqualTo(PendingLoadQueue.State.LED);
  }

  @Test
  void unknownLoadsAndOtherEpochsAreRejected() {
    TestBed bed = new TestBed();
    bed.connect();
    bed.requestLoad();
    bed.queue.planReceived(new LoadPlan(1, 5, new long[] {7, -1, 0}));
    assertThat(bed.rejections).hasSize(2);
    assertThat(bed.released).containsExactly(0L);
    bed.queue.planReceived(new LoadPlan(9, 6, new long[] {0}));
    assertThat(bed.rejections).hasSize(3);
  }
}
