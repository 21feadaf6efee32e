package switchgap.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.RouterSettings;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;
import switchgap.router.WorkerTransport;
import switchgap.server.platform.TestPlatformSettings;

/** A loop whose thread is gone serves nobody: whatever ends it is told. */
class EventLoopTest {
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void anErrorInAnyRoundIsToldTheFirstToo(int round) throws Exception {
    RouterSettings terms = TestPlatformSettings.routerSettings();
    WorkerTransport nothing =
        (WorkerTransport)
            Proxy.newProxyInstance(
                EventLoopTest.class.getClassLoader(),
                new Class<?>[] {WorkerTransport.class},
                (p, m, a) -> null);
    int[] rounds = {0};
    CompletableFuture<Throwable> told = new CompletableFuture<>();
    EventLoop loop =
        new EventLoop(
            l ->
                new RouterCore(
                    terms,
                    (now, in, out) -> {
                      if (++rounds[0] == round) {
                        throw new StackOverflowError("planted");
                      }
                    },
                    nothing,
                    new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10)),
            "planted",
            late -> {},
            told::complete,
            () -> {});
    loop.start();
    loop.post(c -> {});
    assertThat(told.get(5, TimeUnit.SECONDS)).hasMessage("planted");
  }
}
