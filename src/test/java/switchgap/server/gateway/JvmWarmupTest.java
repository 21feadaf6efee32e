package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** The state of the JVM when a router starts to accept requests. */
class JvmWarmupTest {
  private static final int START_COUNT = 5;

  /** The rest of a start takes less than a quarter of it, also if it loads classes. */
  private static final double MIN_COLLECTED_SHARE = 0.75;

  /** Creates garbage until it is stopped, and keeps track of which of it has been collected. */
  private static final class GarbageProducer implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 1;

    private final Queue<WeakReference<Object>> garbage = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final Thread thread = new Thread(this::run, "garbage-producer");

    GarbageProducer() {
      thread.start();
    }

    private void run() {
      while (!isStopped.get()) {
        garbage.add(new WeakReference<>(new Object()));
        try {
          Thread.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    /** Share of the objects so far that have been collected. */
    double collectedShare() {
      List<WeakReference<Object>> created = List.copyOf(garbage);
      long collectedCount = created.stream().filter(object -> object.get() == null).count();
      return collectedCount / (double) created.size();
    }

    @Override
    public void close() throws InterruptedException {
      isStopped.set(true);
      thread.join();
    }
  }

  /**
   * Guards against final responses after the deadline: the first collections copied what the start
   * had left in the young generation, and paused the router for longer than it reserves.
   */
  @Test
  void routerAcceptsRequestsOnlyAfterTheGarbageOfItsStartIsCollected() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo)) {
      for (int i = 0; i < START_COUNT; i++) {
        try (GarbageProducer producer = new GarbageProducer();
            GatewayFixture fixture = GatewayFixture.start(worker)) {
          double share = producer.collectedShare();
          assertThat(share).as("start " + i).isGreaterThan(MIN_COLLECTED_SHARE);
          assertThat(fixture.router().pendingRequests()).isZero();
        }
      }
    }
  }
}
