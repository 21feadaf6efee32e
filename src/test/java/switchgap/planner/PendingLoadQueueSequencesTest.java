package switchgap.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Checks in all short and in long random sequences of events that each load is released exactly
 * once unless it was withdrawn.
 */
class PendingLoadQueueSequencesTest {
  private static final int EXHAUSTIVE_LENGTH = 5;

  /** Number of sequences of 0 to 5 events of 10 types: 1 + 10 + ... + 100,000. */
  private static final int EXHAUSTIVE_SEQUENCES = 111_111;

  private long checkedSequences;

  private void checkSequences(UnreliablePlannerLink.Event[] events, int depth) {
    UnreliablePlannerLink link = new UnreliablePlannerLink();
    for (int i = 0; i < depth; i++) {
      link.apply(events[i]);
    }
    link.assertAllLoadsReleasedOrWithdrawn();
    checkedSequences++;
    if (depth == events.length) {
      return;
    }
    for (UnreliablePlannerLink.Event event : UnreliablePlannerLink.Event.values()) {
      events[depth] = event;
      checkSequences(events, depth + 1);
    }
  }

  @Test
  void releasesEachLoadOnceInAllSequencesOfFiveEvents() {
    checkSequences(new UnreliablePlannerLink.Event[EXHAUSTIVE_LENGTH], 0);
    assertThat(checkedSequences).isEqualTo(EXHAUSTIVE_SEQUENCES);
  }

  /** Covers sequences that are longer than the exhaustively checked ones. */
  @Property(tries = 2000, seed = "7")
  void releasesEachLoadOnceInLongRandomSequences(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(min = 0, max = 9) Integer> events) {
    UnreliablePlannerLink link = new UnreliablePlannerLink();
    events.forEach(index -> link.apply(UnreliablePlannerLink.Event.values()[index]));
    link.assertAllLoadsReleasedOrWithdrawn();
    assertThat(link.rejections)
        .as("plans of a correct planner are rejected only because of a wrong epoch")
        .allMatch(rejection -> rejection.reason() == PlanRejection.Reason.WRONG_EPOCH)
        .allMatch(rejection -> rejection.toString().startsWith("a plan for epoch"));
  }
}
