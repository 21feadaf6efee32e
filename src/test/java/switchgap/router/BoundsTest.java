package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.testing.ReachableObjects;

/** Tables of the core at their bounds. */
class BoundsTest {
  private static Response answer(int bytes) {
    return Response.succeeded(200, Map.of(), new byte[bytes]);
  }

  @Test
  void deferredResultsMakeRoomOldestFirstAndCallsThatAreHeldNever() {
    DeferredResults results = new DeferredResults("p", Duration.ofMinutes(5), 3, 1000);
    List<DeferredResults.Entry> entries =
        new ArrayList<>(List.of(results.reserve(), results.reserve(), results.reserve()));
    assertThat(results.reserve()).isNull(); // all held
    entries.get(1).responded(null, answer(10));
    entries.get(0).responded(null, answer(10));
    assertThat(results.reserve()).isNotNull(); // the oldest result went
    assertThat(results.status(results.id(entries.get(1)))).isEqualTo(DeferredResults.Status.GONE);
    assertThat(results.status(results.id(entries.get(0)))).isEqualTo(DeferredResults.Status.ENDED);
    assertThat(results.status(results.id(entries.get(2))))
        .isEqualTo(DeferredResults.Status.PENDING);
    assertThat(results.size()).isEqualTo(3);
  }

  @Test
  void deferredBytesAreBoundedAndComeBackToNone() {
    DeferredResults results = new DeferredResults("p", Duration.ofMinutes(5), 100, 1000);
    List<DeferredResults.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      entries.add(results.reserve());
      entries.get(i).responded(null, answer(300));
    }
    assertThat(
            entries.stream()
                .filter(entry -> results.status(results.id(entry)) == DeferredResults.Status.ENDED)
                .count())
        .isEqualTo(3);
    results.tick(Duration.ofMinutes(6));
    assertThat(results.size()).isZero();
    assertThat(ReachableObjects.field(results, "cachedBytes")).isEqualTo(0L);
  }

  @Test
  void eightWaitForADeferredCallAndANinthIsAnsweredAtOnce() {
    DeferredResults results = new DeferredResults("p", Duration.ofMinutes(5), 3, 1000);
    DeferredResults.Entry e = results.reserve();
    int[] told = {0};
    for (int i = 0; i < 8; i++) {
      assertThat(results.await(e, entry -> told[0]++)).isTrue();
    }
    assertThat(results.await(e, entry -> told[0]++)).isFalse();
    e.responded(null, answer(1));
    assertThat(told[0]).isEqualTo(8);
  }

  @Test
  void stoppedTimersDoNotPileUp() {
    TimerQueue t = new TimerQueue();
    for (int i = 0; i < 1_000_000; i++) {
      t.cancel(t.schedule(Duration.ofSeconds(10 + i), () -> {}));
    }
    assertThat(ReachableObjects.by(t)).isLessThan(4000);
    assertThat(t.size()).isZero();
    assertThat(t.nextDue()).isNull();
  }

  @Test
  void namesThatAreReleasedAreHandedOutAgain() {
    NameIndex n = new NameIndex();
    for (int i = 0; i < 100_000; i++) {
      n.release(n.allocate("n" + i));
    }
    assertThat(n.allocate("last")).isZero();
    assertThat(ReachableObjects.by(n)).isLessThan(10);
  }
}
