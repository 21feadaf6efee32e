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
 * Extends Grizzly's event loop in two ways: it records each iteration in {@link
 * EventLoopIterations}, and it lets other threads wait until every loop has read the pending bytes
 * of its sockets.
 */
final class StallTrackingSelectorHandler extends DefaultSelectorHandler {
  /**
   * Interval at which an idle event loop polls its sockets. A longer gap means that the loop was
   * stalled.
   */
  static final long SELECT_TIMEOUT_MILLIS = 50;

  /**
   * Number of iterations in which a message of up to 20 KiB has been read in reads of 4 KiB, the
   * shortest maximum of one read.
   */
  private static final int ITERATIONS_PER_MESSAGE = 6;

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
   * Blocks until all bytes that are in the sockets now have been read, or until the timeout. Must
   * not be called on a selector thread, because it would wait for itself.
   */
  void awaitPendingReads(Duration timeout) throws InterruptedException {
    Set<SelectorRunner> loopsToAwait = Set.copyOf(eventLoops);
    CountDownLatch done = new CountDownLatch(loopsToAwait.size());
    loopsToAwait.forEach(eventLoop -> countDownAfter(ITERATIONS_PER_MESSAGE, eventLoop, done));
    done.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Counts the latch down after {@code iterations} iterations. The event loop runs a queued task
   * before its next poll, and a task that is queued by that task before the poll after that.
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
