package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tasks with the same key run in order on one thread, and an exception in a task does not end the
 * thread.
 */
class KeyedWritersTest {
  private static final int TASKS = 1000;

  @Test
  void runsTasksOfOneKeyInOrderOnOneThread() throws Exception {
    List<Integer> executedTaskNumbers = new CopyOnWriteArrayList<>();
    List<String> threads = new CopyOnWriteArrayList<>();
    CountDownLatch done = new CountDownLatch(TASKS);
    try (KeyedWriters writers = new KeyedWriters(3, "writer")) {
      for (int i = 0; i < TASKS; i++) {
        int number = i;
        writers.execute(
            -1,
            () -> {
              executedTaskNumbers.add(number);
              threads.add(Thread.currentThread().getName());
              done.countDown();
            });
      }
      assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(executedTaskNumbers).hasSize(TASKS).isSorted();
    assertThat(threads).containsOnly("writer-2");
  }

  @Test
  void continuesAfterTaskThatThrows() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (KeyedWriters writers = new KeyedWriters(1, "writer")) {
      writers.execute(
          0,
          () -> {
            throw new IllegalStateException("injected");
          });
      writers.execute(0, done::countDown);
      assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
    }
  }
}
