package switchgap.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Grizzly's event loop, extended in two ways: it records each iteration in {@link
 * EventLoopIterations}, and other threads can wait until every loop has read what its sockets hold.
 */
final class StallTrackingSelectorHandler extends DefaultSelectorHandler {
  /** An idle event loop polls its sockets this often; a longer gap means that it was stalled. */
  static final long SELECT_TIMEOUT_MILLIS = 50;

  /** Iterations after which a message of usual size, longer than one read, has been read. */
  private static final int ITERATIONS_PER_MESSAGE = 3;

  private final Set<SelectorRunner> eventLoops = ConcurrentHashMap.newKeySet();

  StallTrackingSelectorHandler() {
    super(SELECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public boolean preSelect(SelectorRunner eventLoop) throws IOException {
    eventLoops.add(eventLoop);
    return super.preSelect(eventLoop);
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner eventLoop) throws IOException {
    long startedNanos = System.nanoTime();
    Set<SelectionKey> ready = super.select(eventLoop);
    EventLoopIterations.ofCurrentThread()
        .selectReturned(startedNanos, System.nanoTime(), !ready.isEmpty());
    return ready;
  }

  /**
   * Blocks until all bytes that are in the sockets now have been read, or the timeout is over. Must
   * not be called on a selector thread, which would wait for itself.
   */
  void awaitPendingReads(Duration timeout) throws InterruptedException {
    Set<SelectorRunner> awaited = Set.copyOf(eventLoops);
    CountDownLatch done = new CountDownLatch(awaited.size());
    awaited.forEach(eventLoop -> countDownAfter(ITERATIONS_PER_MESSAGE, eventLoop, done));
    done.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Counts the latch down after this many iterations. The event loop runs a queued task before it
   * polls next, and a task that this one queues before the poll after that.
   */
  private void countDownAfter(int iterations, SelectorRunner eventLoop, CountDownLatch done) {
    enque(
        eventLoop,
        () -> {
          if (iterations == 0) {
            done.countDown();
          } else {
            countDownAfter(iterations - 1, eventLoop, done);
          }
          return true;
        },
        null);
  }
}
