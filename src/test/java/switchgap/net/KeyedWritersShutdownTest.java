package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A shutdown waits for what was given to the writers before. */
class KeyedWritersShutdownTest {
  private static final int THREADS = 3;
  private static final int TASKS = 30;

  @Test
  void awaitsAllTasksAddedBefore() throws Exception {
    try (KeyedWriters writers = new KeyedWriters(THREADS, "test")) {
      AtomicInteger run = new AtomicInteger();
      for (int key = 0; key < TASKS; key++) {
        writers.execute(key, () -> slowly(run));
      }
      assertThat(writers.awaitPending(Duration.ofSeconds(5))).isTrue();
      assertThat(run.get()).isEqualTo(TASKS);
    }
  }

  @Test
  void doesNotWaitLongerThanItsBound() throws Exception {
    try (KeyedWriters writers = new KeyedWriters(1, "test")) {
      CountDownLatch release = new CountDownLatch(1);
      writers.execute(0, () -> awaitUninterrupted(release));
      assertThat(writers.awaitPending(Duration.ofMillis(50))).isFalse();
      release.countDown();
    }
  }

  private static void slowly(AtomicInteger run) {
    awaitMillis(5);
    run.incrementAndGet();
  }

  private static void awaitMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
