package switchgap.planner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when pending loads are released, with and without a planner. */
class PendingLoadQueueTest {
  private static final int TIMEOUTS_UNTIL_STALLED = 3;

  private final UnreliablePlannerLink link = new UnreliablePlannerLink();

  @Test
  void releasesLoadsImmediatelyWithoutPlanner() {
    link.requestLoad();
    link.requestLoad();
    assertThat(link.released).containsExactly(0L, 1L);
  }

  /** A paused planner resumes and sends plans for loads that have timed out in the meantime. */
  @Test
  void releasesNoLoadTwiceForStalePlans() {
    link.connect();
    link.requestLoad();
    link.plannerReceivesBacklog();
    link.plannerReceivesBacklog();
    for (int i = 0; i < TIMEOUTS_UNTIL_STALLED; i++) {
      link.advancePastTimeout();
      link.requestLoad();
    }
    assertThat(link.released).contains(0L, 1L);
    link.routerReceivesAllPlans();
    assertThat(link.queue.counts().stale()).isPositive();
    assertThat(link.released).doesNotHaveDuplicates();
  }

  @Test
  void releasesLoadsImmediatelyFromStalledPlannerUntilNextPlan() {
    link.connect();
    for (int i = 0; i < TIMEOUTS_UNTIL_STALLED; i++) {
      link.requestLoad();
      link.advancePastTimeout();
    }
    assertThat(link.queue.state()).isEqualTo(PendingLoadQueue.State.STALLED);
    link.requestLoad();
    assertThat(link.released).as("loads released, the last one without a timeout").hasSize(4);
    link.plannerReceivesBacklog();
    link.plannerReceivesAllBacklogs();
    link.routerReceivesAllPlans();
    assertThat(link.queue.state()).isEqualTo(PendingLoadQueue.State.LED);
  }

  @Test
  void rejectsUnknownLoadsAndPlansForOtherEpochs() {
    link.connect();
    link.requestLoad();
    link.queue.planReceived(new LoadPlan(1, 5, new long[] {7, -1, 0}));
    assertThat(link.rejections)
        .hasSize(2)
        .allMatch(rejection -> rejection.reason() == PlanRejection.Reason.UNKNOWN_LOAD);
    assertThat(link.released).containsExactly(0L);
    link.queue.planReceived(new LoadPlan(9, 6, new long[] {0}));
    assertThat(link.rejections).hasSize(3);
    assertThat(link.rejections.get(2).reason()).isEqualTo(PlanRejection.Reason.WRONG_EPOCH);
  }
}
