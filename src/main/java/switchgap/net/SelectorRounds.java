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
 * The rounds of the selectors: each looks which sockets are ready, and handles these. Knows how
 * long what is read may have stood in its socket, and when all that stood there has been read.
 */
final class SelectorRounds extends DefaultSelectorHandler {
  /** An idle selector looks at its sockets so often; a longer gap tells that it was held up. */
  private static final long SELECT_TIMEOUT_MILLIS = 50;

  /** A shorter delay counts as none; one to be accepted and one to be read add up. */
  private static final Duration UNNOTICED_DELAY = Duration.ofMillis(65);

  /** Rounds in which a message of the usual size, longer than one read, comes whole. */
  private static final int ROUNDS_PER_MESSAGE = 3;

  /** When a selector thread looked at its sockets; belongs to that thread. */
  private static final class Looks {
    private long latestNanos = System.nanoTime();
    private long previousNanos = latestNanos;

    /**
     * A call of select has ended. One that was stopped and continued by signals ends with nothing,
     * whatever is ready (Linux interrupts epoll_wait then, and the JDK finds its timeout over):
     * that was no look.
     */
    private void looked(long beganNanos, long nowNanos, boolean foundNothing) {
      boolean heldUp = nowNanos - beganNanos > PauseDetector.THRESHOLD.toNanos();
      if (!heldUp || !foundNothing) {
        previousNanos = latestNanos;
        latestNanos = nowNanos;
      }
    }
  }

  private static final ThreadLocal<Looks> LOOKS = ThreadLocal.withInitial(Looks::new);

  private final Set<SelectorRunner> runners = ConcurrentHashMap.newKeySet();

  SelectorRounds() {
    super(SELECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    runners.add(runner);
    return super.preSelect(runner);
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    long beganNanos = System.nanoTime();
    Set<SelectionKey> ready = super.select(runner);
    LOOKS.get().looked(beganNanos, System.nanoTime(), ready.isEmpty());
    return ready;
  }

  /**
   * How long what this selector thread reads now may have stood unread: it was not there at the
   * look before. Zero where the thread was not held up.
   */
  static Duration possibleDelay() {
    Duration delay = Duration.ofNanos(System.nanoTime() - LOOKS.get().previousNanos);
    return delay.compareTo(UNNOTICED_DELAY) > 0 ? delay : Duration.ZERO;
  }

  /** Waits until all that stands in the sockets now has been read; not for selector threads. */
  void awaitPendingReads(Duration timeout) throws InterruptedException {
    Set<SelectorRunner> awaited = Set.copyOf(runners);
    CountDownLatch done = new CountDownLatch(awaited.size());
    awaited.forEach(runner -> runAfterRounds(runner, ROUNDS_PER_MESSAGE, done));
    done.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * A task that is queued runs before a selector's next look, one that it queues before the look
   * after.
   */
  private void runAfterRounds(SelectorRunner runner, int rounds, CountDownLatch done) {
    enque(
        runner,
        () -> {
          if (rounds == 0) {
            done.countDown();
          } else {
            runAfterRounds(runner, rounds - 1, done);
          }
          return true;
        },
        null);
  }
}
