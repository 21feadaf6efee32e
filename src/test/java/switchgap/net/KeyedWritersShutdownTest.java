package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A shutdown waits, up to a timeout, for the tasks that were added before it. */
class KeyedWritersShutdownTest {
  private static final int THREADS = 3;
  private static final int TASKS = 30;

  @Test
  void awaitsAllTasksAddedBefore() throws Exception {
    try (KeyedWriters writers = new KeyedWriters(THREADS, "test")) {
      AtomicInteger completedTasks = new AtomicInteger();
      for (int key = 0; key < TASKS; key++) {
        writers.execute(key, () -> incrementAfterPause(completedTasks));
      }
      assertThat(writers.awaitPending(Duration.ofSeconds(5))).isTrue();
      assertThat(completedTasks.get()).isEqualTo(TASKS);
    }
  }

  @Test
  void stopsWaitingAtTimeout() throws Exception {
    try (KeyedWriters writers = new KeyedWriters(1, "test")) {
      CountDownLatch release = new CountDownLatch(1);
      writers.execute(0, () -> awaitUninterrupted(release));
      assertThat(writers.awaitPending(Duration.ofMillis(50))).isFalse();
      release.countDown();
    }
  }

  private static void incrementAfterPause(AtomicInteger completedTasks) {
    awaitMillis(5);
    completedTasks.incrementAndGet();
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
