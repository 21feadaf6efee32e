package switchgap.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.planner.PendingLoadBuilder.load;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which a planner releases loads. */
class LoadSchedulerTest {
  private static final int LOAD_COUNT = 12;
  private static final int HIGH_PRIORITY_LOAD_ID = 5;
  private static final int SHORT_LOAD_ID = 11;

  private final LoadScheduler scheduler = new LoadScheduler();

  private static LoadBacklog backlogOf(List<PendingLoad> waiting) {
    return new LoadBacklog(1, 1, waiting);
  }

  @Test
  void ordersLoadsByPriorityWeightPerSecondOfLoadTime() {
    List<PendingLoad> waiting = new ArrayList<>();
    for (int i = 0; i < LOAD_COUNT; i++) {
      waiting.add(
          load(i)
              .function("f" + i)
              .loadMicros(i == SHORT_LOAD_ID ? 100_000 : 1_000_000)
              .priorityWeight(i == HIGH_PRIORITY_LOAD_ID ? 50 : 1)
              .build());
    }
    LoadPlan plan = scheduler.plan(backlogOf(waiting));
    assertThat(plan.ids())
        .as("order of the plan: highest weight, then shortest load time, then first requested")
        .startsWith(HIGH_PRIORITY_LOAD_ID, SHORT_LOAD_ID, 0);
    assertThat(plan.ids())
        .as("plan contains all loads, because the router limits loads in flight")
        .hasSize(LOAD_COUNT);
    assertThat(scheduler.plan(backlogOf(waiting)))
        .as("plan for a backlog with the same sequence number")
        .isNull();
  }

  @Test
  void ordersLongWaitingLoadBeforeRecentLoadOfHigherWeight() {
    PendingLoad recent =
        load(0).function("new").loadMicros(1000).priorityWeight(5).ageMicros(0).build();
    PendingLoad old =
        load(1).function("old").loadMicros(1000).priorityWeight(1).ageMicros(6_000_000).build();
    LoadPlan plan = scheduler.plan(backlogOf(List.of(recent, old)));
    assertThat(plan.ids()).containsExactly(1, 0);
  }
}
