package switchgap.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;
import switchgap.router.WorkerTransport;
import switchgap.server.platform.TestPlatformSettings;
import switchgap.testing.RecordingProxy;

/**
 * Checks that any error that ends the loop's thread is reported, because no request is served
 * without that thread.
 */
class EventLoopTest {
  private static final String ERROR_MESSAGE = "injected by the test";
  private static final CoreLimits LIMITS =
      new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10);

  private static RouterCore coreThatFailsInTick(int failingTick) throws IOException {
    AtomicInteger ticks = new AtomicInteger();
    RouterCore.Policy policy =
        (now, events, actions) -> {
          if (ticks.incrementAndGet() == failingTick) {
            throw new StackOverflowError(ERROR_MESSAGE);
          }
        };
    return new RouterCore(
        TestPlatformSettings.routerSettings(),
        policy,
        RecordingProxy.ignoring(WorkerTransport.class),
        LIMITS);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void reportsAnErrorInAnyTickIncludingTheFirst(int failingTick) throws Exception {
    CompletableFuture<Throwable> failure = new CompletableFuture<>();
    RouterCore core = coreThatFailsInTick(failingTick);
    EventLoop loop =
        new EventLoop(
            self -> core, "failing-loop", latenessMicros -> {}, failure::complete, () -> {});

    loop.start();
    loop.post(router -> {});

    assertThat(failure.get(5, TimeUnit.SECONDS)).hasMessage(ERROR_MESSAGE);
  }
}
