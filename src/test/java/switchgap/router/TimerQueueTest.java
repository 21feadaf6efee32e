package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.testing.ReachableObjects;

class TimerQueueTest {
  @Test
  void cancelledTimersDoNotAccumulate() {
    TimerQueue timers = new TimerQueue();

    for (int i = 0; i < 1_000_000; i++) {
      timers.cancel(timers.schedule(Duration.ofSeconds(10 + i), () -> {}));
    }

    assertThat(ReachableObjects.count(timers)).isLessThan(4000);
    assertThat(timers.size()).isZero();
    assertThat(timers.nextDue()).isNull();
  }
}
